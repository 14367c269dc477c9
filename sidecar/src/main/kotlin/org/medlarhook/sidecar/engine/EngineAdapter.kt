package org.medlarhook.sidecar.engine

/** Client of one model engine. Each wire format has its own implementation. */
internal interface EngineAdapter {
    /** Prepares a generation that must end by [deadlineMs] on the monotonic clock; sends nothing yet. */
    fun prepare(request: EngineRequest, deadlineMs: Long): EngineCall
}
