package org.medlarhook.sidecar.engine

import arrow.core.Either
import org.medlarhook.core.result.Failure

/** One generation at the engine. */
internal interface EngineCall {
    /** Sends the request and hands the tokens to [sink] in order, each once. Blocks until the end. */
    fun run(sink: TokenSink): Either<Failure, EngineEnd>

    /** Cancels the engine's work. May be called from any thread, also before [run]. */
    fun cancel()
}
