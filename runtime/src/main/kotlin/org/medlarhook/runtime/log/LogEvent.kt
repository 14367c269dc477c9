package org.medlarhook.runtime.log

/**
 * The numbered events of the log. The catalogue in `docs/LOG-EVENTS.md` lists each of them.
 *
 * 1xx: life of a process; 2xx: requests; 3xx: upstreams; 4xx: directory; 5xx: leases, orders and usage;
 * 6xx: the platform's services.
 *
 * @property number the number that never changes its meaning.
 * @property message one line for people.
 */
public enum class LogEvent(
    public val number: Int,
    public val message: String,
) {
    PROCESS_STARTED(101, "Process started"),
    DRAIN_STARTED(102, "Graceful shutdown started"),
    PROCESS_STOPPED(103, "Process stopped"),
    START_FAILED(104, "Process could not start"),
    WARMED_UP(105, "Sample requests served before callers are let in"),
    WARM_UP_FAILED(106, "Sample requests could not be served"),
    REQUEST_FINISHED(201, "Request finished"),
    REQUEST_FAILED(202, "Request failed"),
    REQUEST_REFUSED(203, "Request refused"),
    ATTEMPT_FAILED(204, "Attempt failed"),
    CONNECTION_FAILED(205, "A connection of a caller failed"),
    UPSTREAM_CONNECTED(301, "Upstream connected"),
    UPSTREAM_LOST(302, "Upstream lost"),
    UPSTREAM_DRAINING(303, "Upstream drains"),
    ENGINE_CALL_FAILED(304, "Call of the engine or service failed"),
    UPSTREAM_SILENT(305, "Engine or service does not answer its health probe"),
    UPSTREAM_ANSWERS(306, "Engine or service answers its health probe again"),
    SIDECAR_REGISTERED(307, "Sidecar registered"),
    RECEIPT_DROPPED(308, "A receipt that no collector had taken was dropped"),
    ATTEMPT_MEMORY_LOW(309, "The memory for attempts is nearly used up"),
    DRAIN_LIMIT_PASSED(310, "Attempts still ran when the limit of the graceful shutdown passed"),
    DIRECTORY_ADVANCED(401, "Directory advanced"),
    ENTRY_REGISTERED(402, "Entry registered"),
    AUTHORITY_GAINED(403, "Keyed routes are served"),
    AUTHORITY_LOST(404, "Keyed routes are refused until there is news of the tables"),
    LEASE_TAKEN(501, "Lease taken"),
    LEASE_LOST(502, "Lease lost or handed back"),
    ORDER_ISSUED(503, "Order issued to an upstream"),
    ORDER_FAILED(504, "Order could not be applied"),
    INTENT_FINISHED(505, "The platform has accepted a start or stop of upstreams"),
    WINDOW_FROZEN(506, "Usage window frozen"),
    WINDOW_SENT(507, "Usage window sent"),
    COPY_NOT_KEPT(508, "No room for a copy of a receipt; the sidecar still holds it"),
    PLATFORM_CALL_FAILED(601, "Call of the platform failed"),
    CONFIG_IN_FORCE(602, "Configuration in force"),
    CONFIG_UNREADABLE(603, "A configuration could not be read; the last one stays in force"),
    STORE_LOST(604, "The platform's store does not answer"),
    STORE_BACK(605, "The platform's store answers again"),
    REGISTRY_LISTED(606, "Upstreams listed"),
    REGISTRY_CHANGED(607, "Upstreams changed"),
    REGISTRATION_UNREADABLE(608, "A registration could not be read and names no upstream"),
    SETTINGS_RELOADED(609, "Settings reloaded"),
    SETTINGS_UNREADABLE(610, "Changed settings could not be read; the last ones stay in force"),
}
