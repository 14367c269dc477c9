package org.medlarhook.standins.platform

import arrow.core.Either
import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.platform.Committed
import org.medlarhook.platform.ListedVm
import org.medlarhook.platform.Row
import org.medlarhook.platform.RowKey
import org.medlarhook.platform.TableFailure
import org.medlarhook.platform.Transaction
import org.medlarhook.platform.UpstreamOrder
import org.medlarhook.platform.UsageReport
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicReference

/** The platform's services as one process, all in memory. Faults are set by `POST /faults`. */
internal class PlatformServer {
    private val tables = InMemoryTableService()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val orders = ConcurrentHashMap<String, UpstreamOrder>()
    private val reports = ConcurrentLinkedQueue<UsageReport>()
    private val vms = ConcurrentHashMap<String, ListedVm>()
    private val faults = AtomicReference(PlatformFaults())

    fun start(port: Int) {
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/tables/read") { it.faulty(::read) }
                config.routes.post("/tables/scan") { it.faulty(::scan) }
                config.routes.post("/tables/transact") { it.faulty(::transact) }
                config.routes.put("/objects/<name>") { context ->
                    context.faulty { objects[it.pathParam("name")] = it.bodyAsBytes() }
                }
                config.routes.get("/objects/<name>") { it.faulty(::getObject) }
                config.routes.post("/upstream-orders") { it.faulty(::acceptOrder) }
                config.routes.get("/upstream-orders") {
                    it.json(ListSerializer(UpstreamOrder.serializer()), orders.values.toList())
                }
                config.routes.post("/usage-reports") { it.faulty(::acceptReport) }
                config.routes.get("/usage-reports") {
                    it.json(ListSerializer(UsageReport.serializer()), reports.toList())
                }
                config.routes.get("/vms") { it.json(ListSerializer(ListedVm.serializer()), vms.values.toList()) }
                config.routes.put("/vms/{id}") { context ->
                    vms[context.pathParam("id")] = JSON.decodeFromString(ListedVm.serializer(), context.body())
                }
                config.routes.delete("/vms/{id}") { vms.remove(it.pathParam("id")) }
                config.routes.post("/faults") {
                    faults.set(JSON.decodeFromString(PlatformFaults.serializer(), it.body()))
                }
            }.start("127.0.0.1", port)
    }

    private fun read(context: Context) {
        val key = JSON.decodeFromString(RowKey.serializer(), context.body())
        tables.read(key).onRight { context.json(ReadAnswer.serializer(), ReadAnswer(it)) }
    }

    private fun scan(context: Context) {
        val request = JSON.decodeFromString(ScanRequest.serializer(), context.body())
        tables
            .scan(request.table, request.prefix, request.afterKey, request.limit)
            .onRight { context.json(RowsAnswer.serializer(), RowsAnswer(it)) }
    }

    private fun transact(context: Context) {
        val transaction = JSON.decodeFromString(Transaction.serializer(), context.body())
        when (val result = tables.transact(transaction)) {
            is Either.Right -> context.json(Committed.serializer(), result.value)
            is Either.Left -> {
                val current = (result.value as? TableFailure.Conflict)?.current.orEmpty()
                context.status(HTTP_CONFLICT).json(RowsAnswer.serializer(), RowsAnswer(current))
            }
        }
    }

    private fun getObject(context: Context) {
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

    private fun Context.faulty(handler: (Context) -> Unit) {
        val current = faults.get()
        if (current.delayMs > 0) Thread.sleep(current.delayMs)
        if (current.unavailable) {
            status(HTTP_UNAVAILABLE)
            return
        }
        handler(this)
        if (current.loseAnswers) status(HTTP_ANSWER_LOST).result("")
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
        const val HTTP_NOT_FOUND = 404
        const val HTTP_CONFLICT = 409
        const val HTTP_UNAVAILABLE = 503
        const val HTTP_ANSWER_LOST = 504
        val JSON = Json { encodeDefaults = true }
    }
}
