package org.magnoliavale.internal.identifier;

/**
 * The identifier of an artifact, which is a unit of accelerator memory use: the weights of a model
 * version, or an adapter of it.
 *
 * <p>The text form is {@code model@version} or {@code model@version:adapter}.
 *
 * @param model the model
 * @param version the model's version, from 1
 * @param adapter the adapter, or null for the model itself
 */
public record ArtifactId(ModelId model, int version, AdapterId adapter)
    implements Comparable<ArtifactId> {
  /** Validates the version. */
  public ArtifactId {
    if (version < 1) {
      throw new IllegalArgumentException("version must be at least 1, but was " + version);
    }
  }

  /** Returns the artifact of the weights of a model version. */
  public static ArtifactId ofModel(ModelId model, int version) {
    return new ArtifactId(model, version, null);
  }

  /**
   * Parses the text form.
   *
   * @throws IllegalArgumentException if {@code text} does not have that form
   */
  public static ArtifactId parse(String text) {
    int at = text.indexOf('@');
    if (at < 0) {
      throw new IllegalArgumentException(
          "artifact must have the form 'model@version', but was '" + text + "'");
    }
    int colon = text.indexOf(':', at);
    String version = colon < 0 ? text.substring(at + 1) : text.substring(at + 1, colon);
    AdapterId adapter = colon < 0 ? null : new AdapterId(text.substring(colon + 1));
    return new ArtifactId(new ModelId(text.substring(0, at)), Integer.parseInt(version), adapter);
  }

  /** Returns the weights that an adapter requires, or this artifact if it is the weights. */
  public ArtifactId weights() {
    return adapter == null ? this : ofModel(model, version);
  }

  @Override
  public int compareTo(ArtifactId other) {
    return toString().compareTo(other.toString());
  }

  @Override
  public String toString() {
    String weights = model + "@" + version;
    return adapter == null ? weights : weights + ":" + adapter;
  }
}
