package org.medlarhook.core.result

/**
 * The numbered results that callers and operators see. `docs/RESULT-CODES.md` lists all of them.
 *
 * 1xxx: the request is invalid; 2xxx: the request is refused for now; 3xxx: an upstream failed; 4xxx: calls of
 * operators; 5xxx: services of the platform; 9xxx: internal errors.
 *
 * @property number number in answers; its meaning never changes.
 * @property httpStatus status of the HTTP answer with this code.
 * @property title one sentence for callers and operators.
 */
public enum class ResultCode(
    public val number: Int,
    public val httpStatus: Int,
    public val title: String,
) {
    MALFORMED_BODY(1001, 400, "The body is not valid JSON of the expected shape"),
    BODY_TOO_LARGE(1002, 413, "The body exceeds the limit"),
    UNKNOWN_FIELD(1003, 400, "The body holds a field that is not known"),
    UNKNOWN_MODEL(1004, 404, "No such model"),
    UNKNOWN_SERVICE(1005, 404, "No such service"),
    NO_ROUTE(1009, 404, "No route leads there"),
    BAD_DEADLINE(1006, 400, "The deadline header is not a positive whole number of milliseconds"),
    BAD_PARAMETER(1007, 400, "A parameter is out of its range"),
    BODY_TIMEOUT(1008, 408, "The body did not arrive in time"),
    HEADERS_TOO_LARGE(1014, 431, "The headers exceed the limit"),
    MALFORMED_REQUEST(1015, 400, "The request can not be read"),
    KEY_MISSING(1010, 401, "No key was presented"),
    KEY_INVALID(1011, 401, "The key is unknown or withdrawn"),
    KEY_WITHDRAWN_DURING_REQUEST(1012, 401, "The key was withdrawn while the request ran"),
    MODEL_NOT_ALLOWED(1013, 403, "The workspace may not use this model or service"),
    IDEMPOTENCY_KEY_REUSED(1020, 422, "The idempotency key was used before with another request"),
    IDEMPOTENCY_IN_PROGRESS(1021, 409, "A request with this idempotency key is in progress"),

    DEADLINE_UNREACHABLE(2001, 503, "The answer could not be ready before the deadline"),
    WORKSPACE_LIMIT(2002, 429, "The workspace has reached its limit"),
    NO_UPSTREAM(2003, 503, "No upstream can take the request now"),
    DRAINING(2004, 503, "The process is shutting down"),
    AUTHORITY_UNCERTAIN(2005, 503, "Keys can't be checked against recent information"),
    CLAIM_UNAVAILABLE(2006, 503, "The idempotency key can't be recorded now"),
    QUEUE_FULL(2007, 503, "The queue is full"),
    ATTEMPT_SEALED(2008, 503, "The attempt was refused before it started"),
    WRONG_INCARNATION(2009, 503, "The attempt was meant for an earlier process"),
    DUPLICATE_ATTEMPT(2010, 409, "The attempt was received before"),
    NO_CONFIG(2011, 503, "The configuration is not known yet"),
    STREAM_ORIGIN_UNKNOWN(2012, 503, "The software version that began the stream is not known"),
    PROMPT_PART_QUARANTINED(2013, 503, "Engines crash on a part of the prompt"),
    REQUEST_QUARANTINED(2014, 503, "Upstreams crash under this request"),

    UPSTREAM_FAILED(3001, 502, "The upstream failed"),
    OUTCOME_UNKNOWN(3002, 502, "It is not known whether the request was run"),
    DEADLINE_EXCEEDED(3003, 504, "The deadline passed"),
    CANCELLED(3004, 499, "The caller left"),
    UPSTREAM_REFUSED(3005, 502, "The upstream refused the request"),

    CONFIG_INVALID(4001, 422, "The configuration is not valid"),
    CONFIG_CONFLICT(4002, 409, "The configuration was changed by another operator"),
    NOT_FOUND(4004, 404, "No such object"),

    PLATFORM_UNAVAILABLE(5001, 503, "The platform's service is not reachable; nothing was changed"),
    PLATFORM_OUTCOME_UNKNOWN(5002, 503, "The platform's answer was lost"),
    PLATFORM_CONFLICT(5003, 409, "Another process changed the row first"),
    INTERNAL(9001, 500, "An internal error"),
}
