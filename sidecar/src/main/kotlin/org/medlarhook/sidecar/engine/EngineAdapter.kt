package org.medlarhook.sidecar.engine

import arrow.core.Either
import org.medlarhook.core.result.Failure

/** The door to one model engine. Another wire format is another implementation. */
internal interface EngineAdapter {
    /**
     * Runs a generation and hands each token to [onToken] as it comes. Blocks until the end.
     * The work is cancelled once [isCancelled] answers true.
     */
    fun generate(
        request: EngineRequest,
        isCancelled: () -> Boolean,
        onToken: (EngineToken) -> Unit,
    ): Either<Failure, EngineEnd>
}
