package org.medlarhook.sidecar.registration

/** Learns of each incarnation before attempts are accepted under it; may block until it is ready. */
internal fun interface IncarnationListener {
    /** Takes the [incarnation] that the sidecar has registered. */
    fun onIncarnation(incarnation: Long)
}
