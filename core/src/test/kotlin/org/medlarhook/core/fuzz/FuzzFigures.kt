package org.medlarhook.core.fuzz

/** Figures over the chains of one test run: the worst times, and how often the relevant situations occurred. */
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
