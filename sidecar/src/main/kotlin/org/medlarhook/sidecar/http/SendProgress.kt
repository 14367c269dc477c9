package org.medlarhook.sidecar.http

import okhttp3.Call
import okhttp3.EventListener

/** Records whether any byte of a request may have been sent. */
internal class SendProgress : EventListener() {
    /** True from the moment at which OkHttp starts to write the request's headers. */
    @Volatile
    var mayHaveBeenSent = false
        private set

    override fun requestHeadersStart(call: Call) {
        mayHaveBeenSent = true
    }
}
