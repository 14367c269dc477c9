package org.medlarhook.harness.demo

import org.medlarhook.harness.Binaries
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.FleetPlan
import org.medlarhook.harness.OperatorsCli
import org.medlarhook.harness.Readiness
import org.medlarhook.harness.fleetPlan
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries

/** The demonstration: runs the steps on a fleet of two entries, engines and a booking service in three regions. */
internal class Demo(
    private val binaries: Binaries,
    private val configuration: Path,
    private val keep: Boolean,
) {
    /** Runs all steps; returns true if none failed. With [keep], the fleet then runs until it is interrupted. */
    fun run(): Boolean =
        Fleet.start(binaries, PLAN).use { fleet ->
            Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
            val operators = OperatorsCli(binaries, fleet.entries.first().operatorsUrl)
            Readiness.await("${fleet.entries.first().operatorsUrl}/healthz")
            operators.applyConfig(configuration.resolve("base.json"), overlays())
            val key = operators.grantKey(WORKSPACE).key
            fleet.upstreams.forEach { it.awaitReady() }
            fleet.entries.forEach { it.awaitReady() }
            val steps = DemoSteps(fleet, operators, key)
            Readiness.until("an entry did not serve the model and the service") { steps.isServing() }
            val ok = steps.runAll()
            if (keep) {
                printAddresses(fleet, key)
                Thread.currentThread().join()
            }
            ok
        }

    private fun overlays(): List<Path> = configuration.resolve("sites").listDirectoryEntries("*.json").sorted()

    private fun printAddresses(fleet: Fleet, key: String) {
        fleet.entries.forEach { println("entry ${it.url}") }
        fleet.entries.forEach { println("operators ${it.operatorsUrl}") }
        println("key $WORKSPACE $key")
        println("model $MODEL")
        println("service $SERVICE")
    }

    internal companion object {
        const val MODEL = "lamp-assistant"
        const val SERVICE = "dispatch-desk"
        const val WORKSPACE = "franchise-valle-1"
        val PLAN: FleetPlan =
            fleetPlan {
                dataCentre("valle-central-1", "valle-central") {
                    engines(MODEL, 2)
                    entries(1)
                }
                dataCentre("guanacaste-1", "guanacaste") {
                    engines(MODEL)
                    service(SERVICE)
                    entries(1)
                }
                dataCentre("caribe-1", "caribe") {
                    engines(MODEL)
                }
            }
    }
}
