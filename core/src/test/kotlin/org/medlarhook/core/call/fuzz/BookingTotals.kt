package org.medlarhook.core.call.fuzz

/** Totals over all chains, with which the test fails if no chain exercised the code. */
internal class BookingTotals {
    private var cases = 0
    var executions = 0
        private set
    var answers = 0
        private set
    var replays = 0
        private set
    var notRun = 0
        private set
    private var unknown = 0

    fun add(oracle: BookingOracle, cases: Int) {
        this.cases += cases
        executions += oracle.executions
        answers += oracle.answers
        replays += oracle.replays
        notRun += oracle.notRun
        unknown += oracle.unknown
    }

    override fun toString() =
        "chains=$cases executions=$executions answers=$answers replays=$replays notRun=$notRun unknown=$unknown"
}
