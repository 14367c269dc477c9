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
    /** The greatest id, or null if no event has one. */
    val greatestId: Long? get() = ids.filterNotNull().maxOrNull()

    /** True if each event that has an id has one above [lastId] and all before it. */
    fun risesAbove(lastId: Long?): Boolean {
        var previousId = lastId ?: Long.MIN_VALUE
        return ids.filterNotNull().all { id -> id > previousId.also { previousId = id } }
    }
}
