package org.magnoliavale.internal.settings;

/**
 * Everything that an instance learns from its settings file.
 *
 * @param instance the instance itself
 * @param caller the port for callers
 * @param operator the port for operators
 * @param peer the port for other instances
 * @param platform the platform's services
 * @param engine connections to endpoints
 * @param logLevel {@code error}, {@code warn}, {@code info} or {@code debug}
 */
public record Settings(
    InstanceSettings instance,
    CallerSettings caller,
    OperatorSettings operator,
    PeerSettings peer,
    PlatformSettings platform,
    EngineSettings engine,
    String logLevel) {}
