package org.medlarhook.serving.fair

/** Tells of which services the upstreams share their machines, so that their room changes beside their requests. */
internal fun interface RoomSharing {
    /** True if an upstream of [service] has said so. */
    fun isShared(service: String): Boolean
}
