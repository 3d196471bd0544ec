package org.magnoliavale.internal.settings;

/**
 * The settings of an instance, as read from its settings file.
 *
 * @param instance identity of the instance
 * @param caller settings of the caller port
 * @param operator settings of the operator port
 * @param peer settings of the peer port
 * @param platform settings of the platform's services
 * @param engine settings of the connections to endpoints
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
