package org.medlarhook.serving.peer

/** The other serving processes, as far as they know at which software version streams began. */
internal interface StreamPeers {
    /** Tells some of the other processes of [stream]. */
    fun tell(stream: BegunStream)

    /** Asks all other processes, and calls [onAnswer] once: with the first known version, or null if there is none. */
    fun ask(
        attemptId: String,
        service: String,
        streamMs: Long,
        onAnswer: (String?) -> Unit,
    )
}

/** Stands for the other processes where there are none. */
internal object NoStreamPeers : StreamPeers {
    override fun tell(stream: BegunStream) = Unit

    override fun ask(
        attemptId: String,
        service: String,
        streamMs: Long,
        onAnswer: (String?) -> Unit,
    ) = onAnswer(null)
}

/** Answers what other processes ask or tell. */
internal interface PeerListener {
    /** The version at which the stream of [attemptId] began, or null if it is not known here. */
    fun versionOf(attemptId: String, service: String, streamMs: Long): String?

    /** Records a [stream] that began at another process. */
    fun began(stream: BegunStream)
}
