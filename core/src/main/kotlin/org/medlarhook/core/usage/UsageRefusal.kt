package org.medlarhook.core.usage

/** Why a step of a collector was not taken. The next call reads the rows again where it must. */
public sealed interface UsageRefusal {
    /** The lease has lapsed or passed to another process. */
    public data object NotInCharge : UsageRefusal

    /** The rows changed, or were read while they changed. */
    public data object Conflict : UsageRefusal

    /** The tables were not reached. */
    public data object TablesUnavailable : UsageRefusal

    /** An answer of the tables was lost. */
    public data object OutcomeUnknown : UsageRefusal

    /** The platform did not accept the report, or its answer was lost; it is sent again. */
    public data object NotDelivered : UsageRefusal
}
