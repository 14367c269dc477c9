package org.medlarhook.core.fuzz

/** What the chains of one run have seen: the worst times, and how often the cases of interest came up. */
class FuzzFigures {
    var lastAcceptanceMs = 0L
    var inForceMs = 0L
    var withdrawals = 0
    var servedInOutage = 0L
    var refusals = 0L

    override fun toString() =
        "withdrawals=$withdrawals lastAcceptanceMs=$lastAcceptanceMs inForceMs=$inForceMs " +
            "servedInOutage=$servedInOutage refusals=$refusals"
}
