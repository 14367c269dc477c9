package org.medlarhook.core.call.fuzz

/** What the chains of a proof came to, so that an empty proof is noticed. */
internal class StreamTotals {
    private var requests = 0
    var whole = 0
        private set

    fun add(requests: Int, whole: Int) {
        this.requests += requests
        this.whole += whole
    }

    override fun toString() = "requests=$requests whole=$whole"
}
