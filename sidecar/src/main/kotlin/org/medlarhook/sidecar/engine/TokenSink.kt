package org.medlarhook.sidecar.engine

/** Receives the tokens of one engine call. */
internal interface TokenSink {
    /** Receives the next token; returns false to end the call. */
    fun onToken(token: EngineToken): Boolean

    /** Called when no complete line is buffered, before the call waits for the engine. */
    fun onPause()
}
