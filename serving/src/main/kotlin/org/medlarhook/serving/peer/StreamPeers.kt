package org.medlarhook.serving.peer

import org.medlarhook.core.serving.resume.BegunStream

/** The other serving processes, as far as they know where streams began. */
internal interface StreamPeers {
    /** Tells some of the other processes of [stream]. */
    fun tell(stream: BegunStream)

    /** Asks all other processes, and calls [onAnswer] once, with null if none knows. */
    fun ask(stream: StreamQuestion, onAnswer: (OriginReport?) -> Unit)
}

/** Stands for the other processes where there are none. */
internal object NoStreamPeers : StreamPeers {
    override fun tell(stream: BegunStream) = Unit

    override fun ask(stream: StreamQuestion, onAnswer: (OriginReport?) -> Unit) = onAnswer(null)
}

/** Answers what other processes ask or tell. */
internal interface PeerListener {
    /** Where the stream began, or null if that is not known here. */
    fun originOf(stream: StreamQuestion): OriginReport?

    /** Records a [stream] that began at another process. */
    fun began(stream: BegunStream)
}
