package org.magnoliavale.internal.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.ActiveDocument;
import org.magnoliavale.internal.document.DocumentEdit;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.DocumentStore;
import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.document.Editor;
import org.magnoliavale.internal.document.StoredSection;
import org.magnoliavale.internal.document.Team;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.http.RequestBodies;

/**
 * The part of the operator API that reads and changes the configuration document.
 *
 * <p>Thread-safe; changes and the history block until the platform's table responds.
 */
public final class DocumentApi {
  /** Header with the operator's id of a change; a retry carries the same id. */
  public static final String CHANGE_ID = "X-Change-Id";

  private static final String SECTIONS = "/document/sections/";
  private static final String BEARER = "Bearer ";
  private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAXIMUM_CHANGE_ID_LENGTH = 128;

  private record Accepted(long version) {}

  private record Checked(List<String> findings) {}

  private final DocumentStore store;
  private final ActiveDocument activeDocument;
  private final String administratorTokenHash;

  /**
   * Creates the API.
   *
   * @param store the stored document
   * @param activeDocument the active document of this instance
   * @param administratorTokenHash hexadecimal SHA-256 hash, or empty if there is no administrator
   */
  public DocumentApi(
      DocumentStore store, ActiveDocument activeDocument, String administratorTokenHash) {
    this.store = store;
    this.activeDocument = activeDocument;
    this.administratorTokenHash = administratorTokenHash;
  }

  void respond(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    String method = request.getMethod();
    if (path.startsWith(SECTIONS)) {
      String heading = URLDecoder.decode(path.substring(SECTIONS.length()), StandardCharsets.UTF_8);
      section(method, heading, request, response, callback);
      return;
    }
    switch (method + " " + path) {
      case "GET /document" -> get(response, callback);
      case "PUT /document" -> put(request, response, callback);
      case "POST /document/check" -> check(request, response, callback);
      case "GET /document/history" -> {
        editor(request);
        HttpResponses.json(response, callback, Map.of("changes", store.history()));
      }
      default ->
          throw MagnoliavaleException.of(
              ErrorCode.NOT_FOUND, "unknown operation: " + method + path);
    }
  }

  private void get(Response response, Callback callback) {
    DocumentText text = activeDocument.text();
    response.getHeaders().put(HttpHeader.ETAG, Long.toString(text.version()));
    HttpResponses.text(response, callback, text.text());
  }

  private void section(
      String method, String heading, Request request, Response response, Callback callback) {
    switch (method) {
      case "GET" -> {
        StoredSection section =
            activeDocument
                .text()
                .section(heading)
                .orElseThrow(
                    () ->
                        MagnoliavaleException.of(
                            ErrorCode.NOT_FOUND, "there is no section [" + heading + "]"));
        response.getHeaders().put(HttpHeader.ETAG, Long.toString(section.revision()));
        HttpResponses.text(response, callback, section.text());
      }
      case "DELETE" ->
          apply(
              new DocumentEdit(
                  List.of(),
                  List.of(heading),
                  baseVersion(request),
                  changeId(request),
                  editor(request)),
              response,
              callback);
      default ->
          throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "unknown operation: " + method);
    }
  }

  private void put(Request request, Response response, Callback callback) {
    Editor editor = editor(request);
    List<Finding> findings = new ArrayList<>();
    List<StoredSection> sections = DocumentText.split("document", bodyText(request), 0, findings);
    if (!findings.isEmpty()) {
      throw MagnoliavaleException.ofFindings(findings);
    }
    apply(
        new DocumentEdit(sections, List.of(), baseVersion(request), changeId(request), editor),
        response,
        callback);
  }

  private void apply(DocumentEdit edit, Response response, Callback callback) {
    DocumentText accepted = store.apply(edit);
    activeDocument.install(accepted, "operator");
    response.getHeaders().put(HttpHeader.ETAG, Long.toString(accepted.version()));
    HttpResponses.json(response, callback, new Accepted(accepted.version()));
  }

  private void check(Request request, Response response, Callback callback) {
    List<Finding> findings = DocumentReader.check("document", bodyText(request));
    HttpResponses.json(
        response, callback, new Checked(findings.stream().map(Finding::toString).toList()));
  }

  /**
   * Authenticates the sender of a request.
   *
   * @throws MagnoliavaleException if the request has no valid token
   */
  Editor editor(Request request) {
    String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    if (authorization == null || !authorization.startsWith(BEARER)) {
      throw MagnoliavaleException.of(ErrorCode.UNAUTHENTICATED, "expected a bearer token");
    }
    String hash = Sha256.of(authorization.substring(BEARER.length()).strip());
    boolean administrator =
        !administratorTokenHash.isEmpty()
            && Sha256.constantTimeEquals(hash, administratorTokenHash);
    if (administrator) {
      return new Editor.Administrator();
    }
    return activeDocument
        .document()
        .teamByTokenHash(hash)
        .map(Team::id)
        .map(Editor.TeamMember::new)
        .orElseThrow(() -> MagnoliavaleException.of(ErrorCode.UNAUTHENTICATED, "unknown token"));
  }

  private static long baseVersion(Request request) {
    String ifMatch = request.getHeaders().get(HttpHeader.IF_MATCH);
    try {
      return Long.parseLong(String.valueOf(ifMatch).replace("\"", "").strip());
    } catch (NumberFormatException e) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST, "If-Match must give the revision that the edit is based on");
    }
  }

  private static String changeId(Request request) {
    String given = request.getHeaders().get(CHANGE_ID);
    if (given == null) {
      return UUID.randomUUID().toString();
    }
    if (given.isBlank() || given.length() > MAXIMUM_CHANGE_ID_LENGTH) {
      throw MagnoliavaleException.of(ErrorCode.INVALID_REQUEST, CHANGE_ID + " is malformed");
    }
    return given;
  }

  private static String bodyText(Request request) {
    return new String(RequestBodies.read(request, MAXIMUM_BODY_BYTES), StandardCharsets.UTF_8);
  }
}
