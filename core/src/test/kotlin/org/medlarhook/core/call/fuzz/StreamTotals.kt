package org.medlarhook.core.call.fuzz

/** Totals over all chains, with which the test fails if no chain exercised the code. */
internal class StreamTotals {
    private var requests = 0
    var complete = 0
        private set

    fun add(requests: Int, complete: Int) {
        this.requests += requests
        this.complete += complete
    }

    override fun toString() = "requests=$requests complete=$complete"
}
