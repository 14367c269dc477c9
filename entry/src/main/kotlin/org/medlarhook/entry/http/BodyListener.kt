package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure

/** Hears the end of reading a body. */
internal interface BodyListener {
    /** The whole body. */
    fun complete(body: ByteArray)

    /** The body did not come as it must. */
    fun failed(failure: Failure)
}
