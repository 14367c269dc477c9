package org.medlarhook.core.role

/** The kind of work that an upstream serves. */
public enum class UpstreamRole {
    /** All phases of a generation. */
    MIXED,

    /** Requests with short answers, and the prefill of requests that another upstream decodes. */
    PREFILL,

    /** Requests with long answers, and the decoding of requests that another upstream prefilled. */
    DECODE,

    /** Calls of services that are no language models. */
    SERVICE,
}
