package org.medlarhook.sidecar.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Call
import okio.BufferedSource
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.runtime.settings.EngineSettings
import org.medlarhook.sidecar.http.SendProgress
import java.io.IOException

/**
 * One generation over HTTP. Lines of other attempts and duplicate tokens are skipped; a gap in the token indexes fails
 * the call.
 */
internal class HttpEngineCall(
    private val call: Call,
    private val request: EngineRequest,
    private val progress: SendProgress,
    private val watchdog: SilenceWatchdog,
    private val settings: EngineSettings,
    private val isDeadlinePassed: () -> Boolean,
) : EngineCall {
    private var nextIndex = request.resumeFromToken
    private var hasReceivedToken = false

    @Volatile
    private var isCancelled = false

    override fun run(sink: TokenSink): Either<Failure, EngineEnd> =
        try {
            watchdog.runWatched(settings.firstByteTimeoutMs, onSilence = call::cancel) { execute(sink, it) }
        } catch (e: IOException) {
            failure(e.message ?: "connection lost").left()
        } catch (e: SerializationException) {
            call.cancel()
            failure("the engine sent a line that is not understood").left()
        }

    override fun cancel() {
        isCancelled = true
        call.cancel()
    }

    private fun execute(sink: TokenSink, counter: SilenceCounter): Either<Failure, EngineEnd> =
        call.execute().use { response ->
            if (response.isSuccessful) {
                readLines(response.body.source(), sink, counter)
            } else {
                failureOfStatus(response.code).left()
            }
        }

    private fun readLines(
        source: BufferedSource,
        sink: TokenSink,
        counter: SilenceCounter,
    ): Either<Failure, EngineEnd> {
        while (true) {
            val line = nextOwnLine(source, sink) ?: return failure("the engine's stream ended early").left()
            if (line.end != null) return EngineEnd(line.end, line.kvHandle).right()
            if (line.index > nextIndex) return cancelAndFail("the engine left out token $nextIndex")
            counter.reset(settings.betweenTokenTimeoutMs)
            if (!deliver(line, sink)) return cancelAndFail("the caller left")
        }
    }

    /** Returns the next line of this attempt that is not a duplicate, or null at the end of the stream. */
    private fun nextOwnLine(source: BufferedSource, sink: TokenSink): EngineLine? {
        while (true) {
            if (source.buffer.indexOf(LINE_END) < 0) sink.onPause()
            val text = source.readUtf8Line() ?: return null
            val line = JSON.decodeFromString(EngineLine.serializer(), text)
            val isOwn = line.attemptId == request.attemptId
            if (isOwn && (line.end != null || line.index >= nextIndex)) return line
        }
    }

    private fun deliver(line: EngineLine, sink: TokenSink): Boolean {
        hasReceivedToken = true
        nextIndex++
        val isWanted = sink.onToken(EngineToken(line.index, line.text))
        if (!isWanted) isCancelled = true
        return isWanted
    }

    private fun cancelAndFail(detail: String): Either<Failure, EngineEnd> {
        call.cancel()
        return failure(detail).left()
    }

    private fun failureOfStatus(status: Int): Failure =
        when (status) {
            in REFUSAL_STATUSES -> Failure(ResultCode.UPSTREAM_REFUSED, RunState.NOT_RUN, "the engine answered $status")
            else -> Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN, "the engine answered $status")
        }

    private fun failure(detail: String): Failure {
        val code =
            when {
                isCancelled -> ResultCode.CANCELLED
                isDeadlinePassed() -> ResultCode.DEADLINE_EXCEEDED
                else -> ResultCode.UPSTREAM_FAILED
            }
        return Failure(code, runState(), detail)
    }

    private fun runState(): RunState =
        when {
            hasReceivedToken -> RunState.RUN
            progress.mayHaveBeenSent -> RunState.UNKNOWN
            else -> RunState.NOT_RUN
        }

    private companion object {
        const val LINE_END = '\n'.code.toByte()
        val REFUSAL_STATUSES = setOf(400, 404, 409, 413, 422, 429, 503)
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
