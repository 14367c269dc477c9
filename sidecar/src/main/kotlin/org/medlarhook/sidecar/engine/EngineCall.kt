package org.medlarhook.sidecar.engine

import arrow.core.Either
import org.medlarhook.core.result.Failure

/** One generation at the engine, prepared by an [EngineAdapter]. */
internal interface EngineCall {
    /** Sends the request and passes each token to [sink] once, in order. Blocks until the generation ends. */
    fun run(sink: TokenSink): Either<Failure, EngineEnd>

    /** Cancels the generation. May be called from any thread, also before [run]. */
    fun cancel()
}
