package org.medlarhook.core.serving.answer

/**
 * Decides what the orderly end of a connection means for an answer that has no other end.
 *
 * Designed for servers that answer a long upload at once, send a part of their body, and close the connection while the
 * upload is still under way. Their system ends the connection in order, and resets it once more of the upload arrives,
 * so that the part looks like a whole answer.
 */
public enum class ConnectionEnd {
    /** The answer is complete. */
    COMPLETE,

    /** The answer is complete unless the connection is reset within [RESET_WITHIN_MS]. */
    COMPLETE_UNLESS_RESET,

    /** The answer is incomplete, whatever its status. */
    INCOMPLETE,
    ;

    public companion object {
        /** A reset that answers the last bytes of a request arrives after a round trip, even between regions. */
        public const val RESET_WITHIN_MS: Long = 60

        /** A server's system accepts a request up to this size, its initial receive window, without the server. */
        private const val INITIAL_WINDOW_BYTES = 65_536

        /**
         * Returns what the end means for the answer to a request whose body has [requestBytes]. [isRequestWritten] is
         * true if the whole request was passed to this process's system before the end arrived.
         */
        public fun of(isRequestWritten: Boolean, requestBytes: Int): ConnectionEnd =
            when {
                !isRequestWritten -> INCOMPLETE
                requestBytes > INITIAL_WINDOW_BYTES -> COMPLETE_UNLESS_RESET
                else -> COMPLETE
            }
    }
}
