package org.magnoliavale.internal.routing;

import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.identifier.AdapterId;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.ModelId;

/**
 * A model as named in a request: {@code model} or {@code model:adapter}, with an optional {@code
 * @version} after the model.
 *
 * @param model the model
 * @param version the requested version, 0 for any
 * @param adapter the requested adapter, or null
 */
public record ModelName(ModelId model, int version, AdapterId adapter) {
  /**
   * Parses the text form.
   *
   * @throws MagnoliavaleException if the text is not of that form
   */
  public static ModelName parse(String text) {
    try {
      int colon = text.indexOf(':');
      String modelPart = colon < 0 ? text : text.substring(0, colon);
      AdapterId adapter = colon < 0 ? null : new AdapterId(text.substring(colon + 1));
      int at = modelPart.indexOf('@');
      if (at < 0) {
        return new ModelName(new ModelId(modelPart), 0, adapter);
      }
      int version = Integer.parseInt(modelPart.substring(at + 1));
      return new ModelName(new ModelId(modelPart.substring(0, at)), version, adapter);
    } catch (IllegalArgumentException e) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST, "model must be MODEL[@VERSION][:ADAPTER], but was " + text);
    }
  }

  /**
   * Returns the artifact that serves this name at an endpoint that holds {@code residentVersion}.
   */
  public ArtifactId artifact(int residentVersion) {
    return new ArtifactId(model, residentVersion, adapter);
  }

  @Override
  public String toString() {
    String modelPart = version == 0 ? model.value() : model + "@" + version;
    return adapter == null ? modelPart : modelPart + ":" + adapter;
  }
}
