package org.magnoliavale.internal.traffic;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.eclipse.jetty.client.HttpResponseException;

/** The content of a response; reports a violation of the protocol in it like a lost connection. */
final class ResponseContent extends FilterInputStream {
  ResponseContent(InputStream content) {
    super(content);
  }

  @Override
  public int read() throws IOException {
    try {
      return super.read();
    } catch (HttpResponseException e) {
      throw new IOException(e);
    }
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    try {
      return super.read(bytes, offset, length);
    } catch (HttpResponseException e) {
      throw new IOException(e);
    }
  }
}
