package org.medlarhook.systemtest.sidecar

import org.medlarhook.protocol.Finished
import org.medlarhook.protocol.Refusal
import java.util.concurrent.CompletableFuture

/** What one generation brought. */
class StreamResult {
    val texts = ArrayList<String>()
    val indexes = ArrayList<Int>()
    val started = CompletableFuture<Unit>()

    /** Completes with true at a final event, with false if the stream broke without one. */
    val ended = CompletableFuture<Boolean>()
    var finished: Finished? = null
    var refusal: Refusal? = null
}
