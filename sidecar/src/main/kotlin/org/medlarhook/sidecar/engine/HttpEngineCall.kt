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

/** One generation over HTTP. Lines of other attempts are skipped; a missing token is a failure. */
internal class HttpEngineCall(
    private val call: Call,
    private val request: EngineRequest,
    private val progress: SendProgress,
    private val silence: SilenceWatchdog,
    private val settings: EngineSettings,
    private val isDeadlinePassed: () -> Boolean,
) : EngineCall {
    private var nextIndex = request.resumeFromToken
    private var hasToken = false

    @Volatile
    private var isCancelled = false

    override fun run(sink: TokenSink): Either<Failure, EngineEnd> =
        try {
            silence.during(settings.firstByteTimeoutMs, onSilence = call::cancel) { execute(sink, it) }
        } catch (e: IOException) {
            lost(e.message ?: "connection lost").left()
        } catch (e: SerializationException) {
            call.cancel()
            lost("the engine sent a line that is not understood").left()
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
                refused(response.code).left()
            }
        }

    private fun readLines(
        source: BufferedSource,
        sink: TokenSink,
        counter: SilenceCounter,
    ): Either<Failure, EngineEnd> {
        while (true) {
            val line = readOwnLine(source, sink) ?: return lost("the engine's stream ended early").left()
            if (line.end != null) return EngineEnd(line.end, line.kvHandle).right()
            if (line.index > nextIndex) return abort("the engine left out token $nextIndex")
            counter.heard(settings.betweenTokenTimeoutMs)
            if (!take(line, sink)) return abort("the caller left")
        }
    }

    /** Reads up to the next line that is this attempt's and not a repeat; null at the end of the stream. */
    private fun readOwnLine(source: BufferedSource, sink: TokenSink): EngineLine? {
        while (true) {
            if (source.buffer.indexOf(LINE_END) < 0) sink.onPause()
            val text = source.readUtf8Line() ?: return null
            val line = JSON.decodeFromString(EngineLine.serializer(), text)
            val isOwn = line.attemptId == request.attemptId
            if (isOwn && (line.end != null || line.index >= nextIndex)) return line
        }
    }

    private fun take(line: EngineLine, sink: TokenSink): Boolean {
        hasToken = true
        nextIndex++
        val isWanted = sink.onToken(EngineToken(line.index, line.text))
        if (!isWanted) isCancelled = true
        return isWanted
    }

    private fun abort(detail: String): Either<Failure, EngineEnd> {
        call.cancel()
        return lost(detail).left()
    }

    private fun refused(status: Int): Failure =
        when (status) {
            in REFUSALS -> Failure(ResultCode.UPSTREAM_REFUSED, RunState.NOT_RUN, "the engine answered $status")
            else -> Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN, "the engine answered $status")
        }

    private fun lost(detail: String): Failure {
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
            hasToken -> RunState.RUN
            progress.mayHaveBeenSent -> RunState.UNKNOWN
            else -> RunState.NOT_RUN
        }

    private companion object {
        const val LINE_END = '\n'.code.toByte()
        val REFUSALS = setOf(400, 404, 409, 413, 422, 429, 503)
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
