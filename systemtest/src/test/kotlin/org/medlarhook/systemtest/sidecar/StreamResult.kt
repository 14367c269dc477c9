package org.medlarhook.systemtest.sidecar

import org.medlarhook.protocol.Finished
import org.medlarhook.protocol.Refusal
import java.util.concurrent.CompletableFuture

/** The events received for one generation. */
class StreamResult {
    val texts = ArrayList<String>()
    val indexes = ArrayList<Int>()
    val started = CompletableFuture<Unit>()

    /** Completes with true if the stream ended with a final event, else with false. */
    val ended = CompletableFuture<Boolean>()
    var finished: Finished? = null
    var refusal: Refusal? = null
}
