package org.medlarhook.entry.operators

import arrow.core.Either
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.core.directory.EntityKind
import org.medlarhook.core.directory.kind
import org.medlarhook.core.result.ResultCode
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.UsageReport
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.operators.api.ChangeAnswer
import org.medlarhook.runtime.operators.api.ChangeRequest
import org.medlarhook.runtime.operators.api.ConfigAnswer
import org.medlarhook.runtime.operators.api.HistoryAnswer
import org.medlarhook.runtime.operators.api.InForceAnswer
import org.medlarhook.runtime.operators.api.KeyAnswer
import org.medlarhook.runtime.operators.api.KeyRequest
import org.medlarhook.runtime.operators.api.KeySummary
import org.medlarhook.runtime.operators.api.KeysAnswer
import org.medlarhook.runtime.operators.api.ProblemAnswer

/** The operators' HTTP routes for configuration, keys, upstreams and usage windows. */
internal class OperatorsRoutes(
    private val config: ConfigService,
    private val inForceCheck: InForceCheck,
    private val time: TimeSource,
    private val upstreams: StateDump,
    private val usageWindows: FrozenUsageWindows,
) {
    /** Adds the routes to [routes]. */
    fun register(routes: RoutesConfig) {
        routes.get("/operators/config") { it.showConfig() }
        routes.post("/operators/config/changes") { it.applyChange() }
        routes.get("/operators/config/history") { it.showHistory() }
        routes.get("/operators/config/in-force/{version}") { it.showInForce() }
        routes.get("/operators/keys") { it.listKeys() }
        routes.post("/operators/keys") { it.grantKey() }
        routes.delete("/operators/keys/{id}") { it.withdrawKey() }
        routes.get("/operators/upstreams") { it.showUpstreams() }
        routes.get("/operators/usage-windows") { it.showWindows() }
    }

    private fun Context.showConfig() {
        val answer =
            config.state().map { state ->
                ConfigAnswer(state.version, state.entities().filter { it.kind != EntityKind.KEY })
            }
        respond(ConfigAnswer.serializer(), answer)
    }

    private fun Context.applyChange() {
        val request = readBody(ChangeRequest.serializer()) ?: return
        respond(ChangeAnswer.serializer(), config.change(request, time.wallMs()).map { ChangeAnswer(it) })
    }

    private fun Context.showHistory() {
        val limit = queryParam("limit")?.toIntOrNull()?.coerceIn(1, MAX_HISTORY) ?: DEFAULT_HISTORY
        respond(HistoryAnswer.serializer(), config.history(limit).map { HistoryAnswer(it) })
    }

    private fun Context.showInForce() {
        val version = pathParam("version").toLongOrNull()
        val answer =
            if (version == null) {
                Either.Left(OperatorsFailure(ResultCode.BAD_PARAMETER))
            } else {
                Either.Right(inForceCheck.check(version, time.monotonicMs()))
            }
        respond(InForceAnswer.serializer(), answer)
    }

    private fun Context.listKeys() {
        val workspace = queryParam("workspace")
        val answer =
            config.state().map { state ->
                val grants = state.keys.values.filter { workspace == null || it.workspace == workspace }
                KeysAnswer(grants.map { KeySummary(it.name, it.workspace, it.withdrawn) }.sortedBy { it.keyId })
            }
        respond(KeysAnswer.serializer(), answer)
    }

    private fun Context.grantKey() {
        val request = readBody(KeyRequest.serializer()) ?: return
        respond(KeyAnswer.serializer(), config.grantKey(request, time.wallMs()))
    }

    private fun Context.withdrawKey() {
        val author = queryParam("author") ?: "unknown"
        val answer = config.withdrawKey(pathParam("id"), author, time.wallMs()).map { ChangeAnswer(it) }
        respond(ChangeAnswer.serializer(), answer)
    }

    private fun Context.showUpstreams() {
        contentType("application/json").result(upstreams.dump(time.monotonicMs()).toString())
    }

    private fun Context.showWindows() {
        respond(ListSerializer(UsageReport.serializer()), usageWindows.newest(limit = DEFAULT_HISTORY))
    }

    private fun <T> Context.readBody(serializer: KSerializer<T>): T? =
        try {
            JSON.decodeFromString(serializer, body())
        } catch (e: SerializationException) {
            problem(OperatorsFailure(ResultCode.MALFORMED_BODY, e.message.orEmpty().lineSequence().first()))
            null
        }

    private fun <T> Context.respond(serializer: KSerializer<T>, answer: Either<OperatorsFailure, T>) {
        when (answer) {
            is Either.Left -> problem(answer.value)
            is Either.Right -> contentType("application/json").result(JSON.encodeToString(serializer, answer.value))
        }
    }

    private fun Context.problem(failure: OperatorsFailure) {
        val code = failure.code
        val answer = ProblemAnswer(code.title, code.number, failure.detail, failure.errors, failure.changes)
        status(code.httpStatus)
        contentType("application/problem+json").result(JSON.encodeToString(ProblemAnswer.serializer(), answer))
    }

    private companion object {
        const val DEFAULT_HISTORY = 20
        const val MAX_HISTORY = 500
        val JSON = Json { encodeDefaults = true }
    }
}
