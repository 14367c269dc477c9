package org.medlarhook.sidecar.engine

/** Takes the tokens of one engine call. */
internal interface TokenSink {
    /** Takes the next token; false if the rest is not wanted. */
    fun onToken(token: EngineToken): Boolean

    /** No further token has arrived yet. */
    fun onPause()
}
