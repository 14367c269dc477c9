package org.medlarhook.harness.demo

import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.ServiceRoute
import org.medlarhook.core.directory.Workspace
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.DirectorySeed
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.FleetPlan
import org.medlarhook.harness.Readiness
import org.medlarhook.harness.fleetPlan

/** The demonstration: three regions, engines, a booking service and two entries. */
internal class Demo(
    private val binaries: Binaries,
    private val keep: Boolean,
) {
    /** Runs all steps; true if none failed. */
    fun run(): Boolean =
        Fleet.start(binaries, PLAN).use { fleet ->
            Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
            val seed = seed(fleet)
            fleet.upstreams.forEach { it.awaitReady() }
            fleet.entries.forEach { it.awaitReady() }
            val steps = DemoSteps(fleet, seed, KEY)
            Readiness.until("no model in service") { steps.isServing() }
            val ok = steps.runAll()
            if (keep) {
                printAddresses(fleet)
                Thread.currentThread().join()
            }
            ok
        }

    private fun seed(fleet: Fleet): DirectorySeed {
        val seed = DirectorySeed(fleet.platformUrl)
        seed.put(
            ModelDeclaration(MODEL, version = "1"),
            Workspace(WORKSPACE, weight = 2),
            seed.grant(KEY, WORKSPACE),
            ServiceDeclaration(
                SERVICE,
                listOf(
                    ServiceRoute("/bookings", methods = listOf("POST")),
                    ServiceRoute("/standings", open = true, idempotent = true),
                    ServiceRoute("/", methods = listOf("GET"), idempotent = true),
                ),
            ),
        )
        return seed
    }

    private fun printAddresses(fleet: Fleet) {
        fleet.entries.forEach { println("entry ${it.url}") }
        fleet.entries.forEach { println("operators ${it.operatorsUrl}") }
        println("key $WORKSPACE $KEY")
        println("model $MODEL")
        println("service $SERVICE")
    }

    internal companion object {
        const val MODEL = "lamp-assistant"
        const val SERVICE = "bookings"
        const val WORKSPACE = "franchise-1"
        const val KEY = "mh_demo.correct-horse-battery"
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
