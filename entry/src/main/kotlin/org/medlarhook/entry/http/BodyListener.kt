package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure

/** Receives the result of reading a request body. */
internal interface BodyListener {
    /** The whole [body] was read. */
    fun complete(body: ByteArray)

    /** The body could not be read, was too large or took too long. */
    fun failed(failure: Failure)
}
