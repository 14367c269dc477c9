package org.medlarhook.systemtest.directory

import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.EntryNode
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.GrantedKey
import org.medlarhook.harness.OperatorsCli
import org.medlarhook.harness.Readiness
import org.medlarhook.harness.fleetPlan
import java.io.IOException
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.CompletableFuture
import kotlin.io.path.listDirectoryEntries
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against entries that accept withdrawn keys, or keys whose state they can't know: entry processes are paused
 * (so that they miss a withdrawal), killed, and run during an outage of the platform.
 */
class AuthorityProcessTest {
    private val root = Path.of("..").toAbsolutePath().normalize()
    private val binaries = Binaries.under(root)
    private val fleet = Fleet.start(
        binaries,
        fleetPlan {
            dataCentre("valle-central-1", "valle-central") { entries(3) }
        },
    )
    private val operators = OperatorsCli(binaries, fleet.entries.first().operatorsUrl)
    private val client = OkHttpClient.Builder().callTimeout(Duration.ofSeconds(30)).build()
    private val key = prepare()

    private fun prepare(): GrantedKey {
        fleet.entries.forEach { Readiness.await("${it.operatorsUrl}/readyz") }
        val overlays = root.resolve("examples/brillo/sites").listDirectoryEntries("*.json").sorted()
        operators.applyConfig(root.resolve("examples/brillo/base.json"), overlays)
        val granted = operators.grantKey("franchise-valle-1")
        Readiness.until("an entry refused the granted key") { fleet.entries.all { status(it, granted) == HTTP_OK } }
        return granted
    }

    private fun status(entry: EntryNode, key: GrantedKey): Int {
        val request = Request.Builder().url(
            "${entry.url}/v1/models",
        ).header("Authorization", "Bearer ${key.key}").build()
        return try {
            client.newCall(request).execute().use { it.code }
        } catch (_: IOException) {
            0
        }
    }

    private fun setFaults(json: String) {
        val request = Request.Builder().url("${fleet.platformUrl}/faults").post(json.toRequestBody(JSON)).build()
        client.newCall(request).execute().use { check(it.isSuccessful) { "HTTP status ${it.code} on /faults" } }
    }

    /** Calls all live entries for [durationMs]; returns for each HTTP status when it was last received, in ms. */
    private fun observe(durationMs: Long): Map<Int, Long> {
        val startMs = nowMs()
        val lastMs = mutableMapOf<Int, Long>()
        while (nowMs() - startMs < durationMs) {
            fleet.entries.filter { it.process.isAlive }.forEach { lastMs[status(it, key)] = nowMs() - startMs }
            Thread.sleep(POLL_MS)
        }
        return lastMs
    }

    /** The state dumps of all entries, which tell for whom an entry that refuses keyed routes is waiting. */
    private fun states(): List<String> =
        fleet.entries.map { entry ->
            val request = Request.Builder().url("${entry.operatorsUrl}/state").build()
            client.newCall(request).execute().use { it.body.string() }
        }

    private fun nowMs() = System.nanoTime() / NANOS_PER_MS

    @AfterEach
    fun stop() = fleet.close()

    @Test
    fun `Given a key withdrawn while an entry is paused, then the entry accepts it for no call, even a queued one`() {
        val paused = fleet.entries.last()
        paused.process.pause()
        val queued = List(QUEUED_CALLS) { CompletableFuture.supplyAsync { status(paused, key) } }
        val outcome = operators.withdrawKey(key.keyId)
        assertEquals(0, outcome.status, outcome.output)
        paused.process.resume()
        val afterwards = List(CALLS) { status(paused, key) }
        val answers = queued.map { it.join() } + afterwards
        assertTrue(answers.none { it == HTTP_OK }, "$answers")
        Readiness.until("no 401 for the withdrawn key") { status(paused, key) == HTTP_UNAUTHORIZED }
    }

    @Test
    fun `Given an outage of the platform, then entries serve on, and a killed one makes the others refuse`() {
        setFaults("""{"unavailable":true}""")
        val inOutage = observe(OUTAGE_MS)
        println("outage of the platform, ms until the last response of each HTTP status: $inOutage")
        val states = states()
        assertEquals(HTTP_OK, inOutage.maxBy { it.value }.key, "$inOutage $states")
        assertTrue(inOutage.filterKeys { it != HTTP_OK }.values.all { it < START_OF_OUTAGE_MS }, "$inOutage $states")

        fleet.entries.last().process.kill()
        Readiness.until("no 503 on keyed routes") { status(fleet.entries.first(), key) == HTTP_UNAVAILABLE }
        setFaults("{}")
        Readiness.until("the entry did not serve keyed routes again") { status(fleet.entries.first(), key) == HTTP_OK }
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAUTHORIZED = 401
        const val HTTP_UNAVAILABLE = 503
        const val QUEUED_CALLS = 4
        const val CALLS = 50
        const val POLL_MS = 50L
        const val OUTAGE_MS = 20_000L
        const val START_OF_OUTAGE_MS = 10_000L
        const val NANOS_PER_MS = 1_000_000L
        val JSON = "application/json".toMediaType()
    }
}
