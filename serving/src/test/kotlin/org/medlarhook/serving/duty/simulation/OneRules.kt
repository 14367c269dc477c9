package org.medlarhook.serving.duty.simulation

/** Checks what the platform has got, in order of arrival, against the rule that one holder at a time reports usage. */
internal class OneRules(
    private val reports: List<SimReport>,
) {
    private val ordered = reports.filterNot { it.isExcused }

    /** The violated rules, one line each. */
    fun violations(): List<String> = differentCounts() + sharedTokens() + lowerTokens() + takenTurns()

    private fun differentCounts(): List<String> =
        reports.groupBy { it.window }.values.filter { same -> same.distinctBy { it.counts }.size > 1 }
            .map { "$DIFFERENT_COUNTS: ${show(it)}" }

    private fun sharedTokens(): List<String> =
        reports.groupBy { it.fencingToken }.values.filter { same -> same.distinctBy { it.holder }.size > 1 }
            .map { "$SHARED_TOKEN: ${show(it)}" }

    private fun lowerTokens(): List<String> =
        ordered.indices.mapNotNull { index ->
            val last = ordered[index]
            ordered.take(index).firstOrNull { it.fencingToken > last.fencingToken }
                ?.let { "$LOWER_TOKEN: ${show(listOf(it, last))}" }
        }

    private fun takenTurns(): List<String> =
        ordered.indices.mapNotNull { index ->
            val last = ordered[index]
            val within = ordered.take(index).filter { it.atMs > last.atMs - LEASE_MS }
            val other = within.indexOfLast { it.holder != last.holder }
            within.take(other.coerceAtLeast(0)).firstOrNull { it.holder == last.holder }
                ?.let { "$TURNS: ${show(listOf(it, within[other], last))}" }
        }

    private fun show(shown: List<SimReport>): String =
        shown.joinToString("; ") {
            "at ${it.atMs} ms ${it.holder} with token ${it.fencingToken}: window ${it.window} ${it.counts}"
        }

    companion object {
        const val DIFFERENT_COUNTS = "one window with different counts"
        const val SHARED_TOKEN = "two holders with one fencing token"
        const val LOWER_TOKEN = "a lower fencing token after a higher one"
        const val TURNS = "holders in turns within the lease"

        /** The bound `lease_ms` of the users' pages. */
        const val LEASE_MS = 3_000L
    }
}
