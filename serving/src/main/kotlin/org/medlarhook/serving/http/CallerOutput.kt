package org.medlarhook.serving.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.OutputHolder
import org.medlarhook.serving.call.UnwrittenOutput
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Keeps the output of one connection in the account of [output] until it is written.
 *
 * @param maxPauseMs how long the connection may keep an upstream waiting, or null for no limit.
 * @param isUpstreamWaiting true while a request is served on the connection, whose upstream waits for the caller.
 */
internal class CallerOutput(
    private val output: UnwrittenOutput,
    private val channel: Channel,
    private val holder: OutputHolder,
    private val maxPauseMs: () -> Long?,
    private val isUpstreamWaiting: () -> Boolean,
) {
    private var pause: Future<*>? = null

    /** Accounts for [bytes] until [write] is done, and returns it. */
    fun account(bytes: Int, write: () -> ChannelFuture): ChannelFuture {
        val addedBytes = bytes.toLong()
        val written = write()
        if (written.isDone) return written
        written.addListener { output.written(holder, addedBytes) }
        output.handed(holder, addedBytes)
        return written
    }

    /** Ends the connection if it keeps an upstream waiting for too long, before that cuts its response off. */
    fun writabilityChanged() {
        pause?.cancel(false)
        pause = null
        val maxMs = maxPauseMs() ?: return
        if (channel.isWritable || !isUpstreamWaiting()) return
        pause = channel.eventLoop().schedule({ endPaused(maxMs) }, maxMs, TimeUnit.MILLISECONDS)
    }

    private fun endPaused(pausedMs: Long) {
        if (channel.isWritable || !channel.isActive || !isUpstreamWaiting()) return
        logger.warnEvent(LogEvent.STALLED_CALLER_ENDED, "pausedMs" to pausedMs)
        holder.abort()
    }
}
