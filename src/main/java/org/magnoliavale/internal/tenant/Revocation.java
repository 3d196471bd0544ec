package org.magnoliavale.internal.tenant;

/**
 * A key that was taken away.
 *
 * @param key fingerprint of the key
 * @param version first version of the configuration without the key
 */
public record Revocation(KeyFingerprint key, long version) {}
