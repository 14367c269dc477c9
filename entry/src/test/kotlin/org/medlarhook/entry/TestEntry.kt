package org.medlarhook.entry

import arrow.core.Either
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.ServiceRoute
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.directory.DirectoryView
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.settings.CallSettings
import org.medlarhook.runtime.settings.CallerLimits
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.settings.ListenAddress
import org.medlarhook.runtime.settings.PlatformSettings
import org.medlarhook.runtime.settings.ShutdownSettings
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A fixed directory. Tests grant and withdraw its keys through [keys]. */
internal class FixedDirectory : DirectoryView {
    val keys = ConcurrentHashMap<String, Workspace>()
    override val version = 1L
    private val model = ModelDeclaration("lamp", "1", maxOutputTokens = 100_000, defaultDeadlineMs = 20_000)
    private val service =
        ServiceDeclaration(
            "desk",
            listOf(
                ServiceRoute("/bookings", listOf("POST")),
                ServiceRoute("/open", open = true, idempotent = true),
                ServiceRoute("/lookup", idempotent = true),
            ),
        )

    override fun authenticate(presentedKey: String, nowMs: Long): Either<Failure, Workspace> =
        keys[presentedKey]?.right() ?: Either.Left(Failure(ResultCode.KEY_INVALID, RunState.NOT_RUN))

    override fun model(name: String) = listOf(model, model.copy(name = "other")).firstOrNull { it.name == name }

    override fun models() = listOf(model, model.copy(name = "other"))

    override fun service(name: String) = service.takeIf { it.name == name }
}

/** The request handling of an entry in this process, with in-memory tables and scripted sidecars. */
internal class TestEntry(
    memory: InMemoryTableService = InMemoryTableService(),
    calls: CallSettings = CallSettings(tickMs = 20, keyCheckMs = 50),
    shutdown: ShutdownSettings = ShutdownSettings(balancerWaitMs = 200, finishLimitMs = 5_000),
) : AutoCloseable {
    val directory = FixedDirectory()
    val tables = FaultyTableService(memory)
    private val scheduler = Executors.newScheduledThreadPool(2)
    private val address = ListenAddress(port = 0)
    private val settings =
        EntrySettings(
            entryId = "entry-1",
            vmId = "vm-1",
            dataCentre = "dc",
            region = "r",
            callers = address,
            operators = address,
            peers = address,
            platform = PlatformSettings("http://127.0.0.1:1"),
            limits = CallerLimits(maxBodyBytes = 10_000),
            calls = calls,
            shutdown = shutdown,
        )
    val pipeline =
        RequestPipeline(settings, tables, NoObjects, directory, SystemTimeSource, scheduler, ::SimpleMeterRegistry)
    private val http = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

    init {
        directory.keys[KEY] = Workspace("stable-1", models = listOf("lamp"))
        pipeline.start { intervalMs, task ->
            scheduler.scheduleWithFixedDelay(task, 0, intervalMs, TimeUnit.MILLISECONDS)
        }
    }

    fun register(id: String, sidecar: FakeSidecarServer) {
        val row = UpstreamRegistration(id, "vm", "dc", "r", 1, sidecar.address, listOf("lamp"), listOf("desk"))
        val write = Write(RowKey(TableNames.UPSTREAM, "dc/$id"), Json.encodeToString(row))
        tables.transact(Transaction(emptyList(), listOf(write)))
        pipeline.pool.poll()
        await("upstream $id did not connect within 10 s") { pipeline.pool.link(id)?.isAccepting == true }
    }

    fun chat(extra: String = "", key: String? = KEY, headers: Map<String, String> = emptyMap()): HttpAnswer =
        send("POST", "/v1/chat/completions", """{"model":"lamp",$MESSAGES$extra}""", key, headers)

    fun send(
        method: String,
        path: String,
        body: String? = null,
        key: String? = KEY,
        headers: Map<String, String> = emptyMap(),
    ): HttpAnswer {
        val request = Request.Builder().url("http://127.0.0.1:${this.pipeline.port}$path")
        request.method(method, body?.toRequestBody("application/json".toMediaType()))
        key?.let { request.header("Authorization", "Bearer $it") }
        headers.forEach { (name, value) -> request.header(name, value) }
        return http.newCall(request.build()).execute().use {
            HttpAnswer(it.code, it.headers.toMultimap(), it.body.string())
        }
    }

    override fun close() {
        pipeline.stop()
        scheduler.shutdownNow()
    }

    companion object {
        const val KEY = "mh_test.secret-part"
        const val MESSAGES = """"messages":[{"role":"user","content":"hello"}]"""

        fun await(message: String, condition: () -> Boolean) {
            val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
            while (!condition()) {
                check(System.nanoTime() < deadlineNanos) { message }
                Thread.sleep(5)
            }
        }
    }
}

/** An HTTP answer as a caller receives it, with the code and run state of its problem details if it has any. */
internal class HttpAnswer(
    val status: Int,
    val headers: Map<String, List<String>>,
    val body: String,
) {
    val code = Regex(""""code":(\d+)""").find(body)?.groupValues?.get(1)?.toInt()
    val run = Regex(""""run":"([a-z-]+)"""").find(body)?.groupValues?.get(1)
}

private object NoObjects : ObjectStore {
    override fun put(name: String, content: ByteArray) = Either.Left(TableFailure.Unavailable("none"))

    override fun get(name: String) = Either.Left(TableFailure.Unavailable("none"))
}
