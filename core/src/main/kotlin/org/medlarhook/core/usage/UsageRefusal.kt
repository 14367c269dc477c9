package org.medlarhook.core.usage

/** Why a call of [UsageCollector] failed. The next call reads the rows again where necessary. */
public sealed interface UsageRefusal {
    /** The lease has expired or passed to another process. */
    public data object NotInCharge : UsageRefusal

    /** The rows were changed by another process before the write or during the read. */
    public data object Conflict : UsageRefusal

    /** The tables could not be reached. */
    public data object TablesUnavailable : UsageRefusal

    /** The answer of the tables to a commit was lost, so the commit may have taken effect. */
    public data object OutcomeUnknown : UsageRefusal

    /** The platform did not accept the report, or its answer was lost. The report will be sent again. */
    public data object NotDelivered : UsageRefusal
}
