package org.magnoliavale.internal.document;

import org.magnoliavale.internal.hash.Sha256;

/** Small documents for tests. */
public final class TestDocuments {
  /** Token of the team {@code cooks}. */
  public static final String TOKEN = "cooks-token";

  private TestDocuments() {}

  /** Returns a document of one engine with {@code bytes} of memory, and one model. */
  public static String document(String engine, long bytes, long modelBytes) {
    return base() + endpoint(engine, 1, bytes, "checking") + model("first", modelBytes);
  }

  /** Returns the team, data centre, contracts, pools and service common to all test documents. */
  public static String base() {
    return """
    [team cooks]
    token-sha256 = %s
    [data-centre here]
    owner = cooks
    region = test
    [contract checking]
    owner = cooks
    checks-fencing = true
    keeps-fence-over-restart = true
    resumes-streams = true
    [contract forgetting]
    owner = cooks
    checks-fencing = true
    order-lateness-ms = 20000
    [contract unchecking]
    owner = cooks
    checks-fencing = false
    order-lateness-ms = 20000
    [pool engines]
    owner = cooks
    kind = engines
    loads-at-once = 9
    [pool desks]
    owner = cooks
    kind = services
    [service ordering]
    owner = cooks
    pool = desks
    """
        .formatted(Sha256.of(TOKEN));
  }

  /** Returns the endpoint section of an engine. */
  public static String endpoint(String name, int port, long bytes, String contract) {
    return """
    [endpoint %s]
    owner = cooks
    pool = engines
    data-centre = here
    address = 127.0.0.1:%d
    contract = %s
    memory-bytes = %d
    """
        .formatted(name, port, contract, bytes);
  }

  /** Returns the endpoint section of a server of the ordering service. */
  public static String serviceEndpoint(String name, int port) {
    return """
    [endpoint %s]
    owner = cooks
    pool = desks
    data-centre = here
    address = 127.0.0.1:%d
    """
        .formatted(name, port);
  }

  /** Returns a model section. */
  public static String model(String name, long bytes) {
    return """
    [model %s]
    owner = cooks
    pool = engines
    bytes = %d
    """
        .formatted(name, bytes);
  }
}
