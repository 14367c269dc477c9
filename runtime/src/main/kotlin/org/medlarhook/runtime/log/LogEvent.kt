package org.medlarhook.runtime.log

/**
 * The numbered log events. `docs/LOG-EVENTS.md` lists each of them.
 *
 * 1xx: start and stop of a process; 2xx: requests; 3xx: upstreams; 4xx: directory; 5xx: leases, orders and usage;
 * 6xx: the platform's services.
 *
 * @property number identifies the event; its meaning never changes.
 * @property message description of the event in one line, for operators.
 */
public enum class LogEvent(
    public val number: Int,
    public val message: String,
) {
    PROCESS_STARTED(101, "Process started"),
    DRAIN_STARTED(102, "Graceful shutdown started"),
    PROCESS_STOPPED(103, "Process stopped"),
    START_FAILED(104, "Process could not start"),
    WARMED_UP(105, "Warm-up requests served before callers are accepted"),
    WARM_UP_FAILED(106, "Warm-up requests failed; the process continues to start"),
    REQUEST_FINISHED(201, "Request finished"),
    REQUEST_FAILED(202, "Request failed"),
    REQUEST_REFUSED(203, "Request refused"),
    ATTEMPT_FAILED(204, "Attempt failed"),
    CONNECTION_FAILED(205, "Connection of a caller failed"),
    UPSTREAM_CONNECTED(301, "Upstream connected"),
    UPSTREAM_LOST(302, "Upstream lost"),
    UPSTREAM_DRAINING(303, "Upstream is draining"),
    ENGINE_CALL_FAILED(304, "Call to the engine or service failed"),
    UPSTREAM_SILENT(305, "Engine or service does not answer its health probe"),
    UPSTREAM_ANSWERS(306, "Engine or service answers its health probe again"),
    SIDECAR_REGISTERED(307, "Sidecar registered"),
    RECEIPT_DROPPED(308, "Receipt dropped before a collector had pulled it: the receipt log is full"),
    ATTEMPT_MEMORY_LOW(309, "Attempt table nearly full; the sidecar registers under a new incarnation"),
    DRAIN_LIMIT_PASSED(310, "Drain limit of the graceful shutdown passed with attempts still running"),
    DIRECTORY_ADVANCED(401, "Directory advanced"),
    ENTRY_REGISTERED(402, "Entry registered"),
    AUTHORITY_GAINED(403, "Keyed routes are served"),
    AUTHORITY_LOST(404, "Keyed routes are refused until a fresh read of the tables is known"),
    LEASE_TAKEN(501, "Lease acquired"),
    LEASE_LOST(502, "Lease lost or released"),
    ORDER_ISSUED(503, "Order issued to an upstream"),
    ORDER_FAILED(504, "Order could not be applied"),
    INTENT_FINISHED(505, "Platform accepted a start or stop of upstreams"),
    WINDOW_FROZEN(506, "Usage window frozen"),
    WINDOW_SENT(507, "Usage window sent"),
    COPY_NOT_KEPT(508, "Copy of a receipt not stored: buffer full; the sidecar still holds the receipt"),
    WINDOW_LEFT_OUT(509, "Usage window not sent: the store has lost its sum, which may have been sent before"),
    USAGE_RECOVERED(510, "Sums, shared clock and beginning of the store's new era are in the store again"),
    PLATFORM_CALL_FAILED(601, "Call to the platform failed"),
    CONFIG_IN_FORCE(602, "Configuration in force"),
    CONFIG_UNREADABLE(603, "Configuration could not be read; the previous one stays in force"),
    STORE_LOST(604, "The platform's store does not answer"),
    STORE_BACK(605, "The platform's store answers again"),
    REGISTRY_LISTED(606, "Upstreams listed"),
    REGISTRY_CHANGED(607, "Upstreams changed"),
    REGISTRATION_UNREADABLE(608, "Registration could not be read; its upstream is ignored"),
    SETTINGS_RELOADED(609, "Settings reloaded"),
    SETTINGS_UNREADABLE(610, "Changed settings could not be read; the previous ones stay in force"),
    UPSTREAM_LEAVES(611, "Upstream says that it leaves; it gets no more work"),
    UPSTREAM_CLOSES(612, "Upstream asks for no requests for some time; it gets none until then"),
    RETRY_AFTER_MALFORMED(613, "Upstream sent a malformed Retry-After; it is not closed"),
    STORE_ERA_ROSE(614, "The platform's store came back from an older copy; its tables are read whole again"),
    PEERS_UNREACHABLE(616, "Other processes can't be reached; streams that they began are not taken up"),
    PEER_MESSAGE_UNREADABLE(617, "Message of another process could not be read; it is ignored"),
    UPSTREAM_LIMITS(618, "Upstream limits the requests of all processes together"),
    UPSTREAM_LIMIT_ENDED(619, "Upstream does not limit its requests any more"),
    UPSTREAM_LIMIT_MALFORMED(620, "Upstream named a malformed limit; it is ignored"),
}
