package org.medlarhook.sidecar.http

import okhttp3.Call
import okhttp3.EventListener

/** Notes whether any byte of a request may have left. */
internal class SendProgress : EventListener() {
    /** True once the request's headers are being written. */
    @Volatile
    var mayHaveBeenSent = false
        private set

    override fun requestHeadersStart(call: Call) {
        mayHaveBeenSent = true
    }
}
