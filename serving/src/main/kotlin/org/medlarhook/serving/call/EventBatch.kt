package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf

/**
 * Complete events of a stream. Whoever takes [bytes] releases them.
 *
 * @property ids the ids of the events in their order, null for an event without a number as its id.
 */
internal class EventBatch(
    val bytes: ByteBuf,
    val ids: List<Long?>,
) {
    /** True if these events may follow the event [lastId] of an interrupted stream: each id is above all before it. */
    fun continues(lastId: Long): Boolean {
        var previousId = lastId
        return ids.all { id -> id != null && id > previousId.also { previousId = id } }
    }
}
