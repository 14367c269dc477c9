package org.medlarhook.sidecar.engine

/** The door to one model engine. Another wire format is another implementation. */
internal interface EngineAdapter {
    /** Prepares a generation that must end by [deadlineMs] on the monotonic clock. Sends nothing. */
    fun prepare(request: EngineRequest, deadlineMs: Long): EngineCall
}
