package org.medlarhook.standins.platform

import arrow.core.Either
import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.ports.Committed
import org.medlarhook.ports.ListedVm
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.UpstreamOrder
import org.medlarhook.ports.UsageReport
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicReference

/**
 * Stand-in of the platform: an HTTP server with all of its services, which keep their data in memory. `POST /faults`
 * sets the faults.
 */
internal class PlatformServer(
    options: PlatformOptions = PlatformOptions(),
) {
    private val tables = InMemoryTableService()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val orders = ConcurrentHashMap<String, UpstreamOrder>()
    private val reports = ConcurrentLinkedQueue<UsageReport>()
    private val vms = LaggingVmList(options.vmLagMs)
    private val counters = PlatformCounters()
    private val readLimiter = RateLimiter(options.maxReadsPerS)
    private val writeLimiter = RateLimiter(options.maxWritesPerS)
    private val faults = AtomicReference(PlatformFaults())

    fun start(port: Int) {
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/tables/read") { it.withFaults(::read) }
                config.routes.post("/tables/scan") { it.withFaults(::scan) }
                config.routes.post("/tables/transact") { it.withFaults(::transact) }
                config.routes.put("/objects/<name>") { context ->
                    context.withFaults { objects[it.pathParam("name")] = it.bodyAsBytes() }
                }
                config.routes.get("/objects/<name>") { it.withFaults(::getObject) }
                config.routes.post("/upstream-orders") { it.withFaults(::acceptOrder) }
                config.routes.get("/upstream-orders") {
                    it.json(ListSerializer(UpstreamOrder.serializer()), orders.values.toList())
                }
                config.routes.post("/usage-reports") { it.withFaults(::acceptReport) }
                config.routes.get("/usage-reports") {
                    it.json(ListSerializer(UsageReport.serializer()), reports.toList())
                }
                config.routes.get("/vms") { it.withFaults(::listVms) }
                config.routes.put("/vms") { vms.put(JSON.decodeFromString(ListedVm.serializer(), it.body()), nowMs()) }
                config.routes.delete("/vms/{id}") { vms.remove(it.pathParam("id"), nowMs()) }
                config.routes.get("/stats") { it.json(PlatformStats.serializer(), counters.snapshot()) }
                config.routes.get("/healthz") { it.result("ok") }
                config.routes.post("/faults") {
                    faults.set(JSON.decodeFromString(PlatformFaults.serializer(), it.body()))
                }
            }.start("127.0.0.1", port)
    }

    private fun read(context: Context) {
        if (!context.admitRead()) return
        val key = JSON.decodeFromString(RowKey.serializer(), context.body())
        tables.read(key).onRight { context.json(ReadAnswer.serializer(), ReadAnswer(it)) }
    }

    private fun scan(context: Context) {
        if (!context.admitRead()) return
        val request = JSON.decodeFromString(ScanRequest.serializer(), context.body())
        tables
            .scan(request.table, request.prefix, request.afterKey, request.limit)
            .onRight { context.json(RowsAnswer.serializer(), RowsAnswer(it)) }
    }

    private fun transact(context: Context) {
        val transaction = JSON.decodeFromString(Transaction.serializer(), context.body())
        if (!context.admitWrites(transaction.writes.size)) return
        when (val result = tables.transact(transaction)) {
            is Either.Right -> context.json(Committed.serializer(), result.value)
            is Either.Left -> {
                val current = (result.value as? TableFailure.Conflict)?.current.orEmpty()
                context.status(HTTP_CONFLICT).json(RowsAnswer.serializer(), RowsAnswer(current))
            }
        }
    }

    private fun Context.admitRead(): Boolean {
        counters.countRead()
        return readLimiter.tryAcquire(1, System.nanoTime()) || refuse()
    }

    private fun Context.admitWrites(rows: Int): Boolean {
        counters.countWrites(rows)
        return writeLimiter.tryAcquire(rows, System.nanoTime()) || refuse()
    }

    private fun Context.refuse(): Boolean {
        counters.countRefused()
        status(HTTP_UNAVAILABLE)
        return false
    }

    private fun listVms(context: Context) {
        context.json(ListSerializer(ListedVm.serializer()), vms.visibleAt(nowMs()))
    }

    private fun nowMs() = System.nanoTime() / NANOS_PER_MS

    private fun getObject(context: Context) {
        counters.countObjectCall()
        val content = objects[context.pathParam("name")]
        if (content == null) context.status(HTTP_NOT_FOUND) else context.result(content)
    }

    private fun acceptOrder(context: Context) {
        val order = JSON.decodeFromString(UpstreamOrder.serializer(), context.body())
        orders.putIfAbsent(order.idempotencyKey, order)
    }

    private fun acceptReport(context: Context) {
        reports.add(JSON.decodeFromString(UsageReport.serializer(), context.body()))
    }

    private fun Context.withFaults(handler: (Context) -> Unit) {
        val current = faults.get()
        if (current.delayMs > 0) Thread.sleep(current.delayMs)
        if (current.unavailable) {
            status(HTTP_UNAVAILABLE)
            return
        }
        handler(this)
        if (current.loseAnswers) status(HTTP_GATEWAY_TIMEOUT).result("")
    }

    private fun <T> Context.json(serializer: kotlinx.serialization.KSerializer<T>, value: T) {
        contentType("application/json").result(JSON.encodeToString(serializer, value))
    }

    @Serializable
    private data class ReadAnswer(
        val row: Row?,
    )

    @Serializable
    private data class RowsAnswer(
        val rows: List<Row>,
    )

    @Serializable
    private data class ScanRequest(
        val table: String,
        val prefix: String = "",
        val afterKey: String = "",
        val limit: Int = 500,
    )

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val HTTP_NOT_FOUND = 404
        const val HTTP_CONFLICT = 409
        const val HTTP_UNAVAILABLE = 503
        const val HTTP_GATEWAY_TIMEOUT = 504
        val JSON = Json { encodeDefaults = true }
    }
}
