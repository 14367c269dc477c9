package org.medlarhook.harness.load

import org.medlarhook.core.routing.RoutingPolicyName
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.FleetPlan
import org.medlarhook.harness.OperatorsCli
import org.medlarhook.harness.Readiness
import org.medlarhook.harness.fleetPlan
import org.medlarhook.runtime.settings.RoutingSettings
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries

/** Runs the Consortium's example fleet with a given routing policy, as a target for the load tool. */
internal class LoadFleet(
    private val binaries: Binaries,
    private val configuration: Path,
) {
    /** Starts the fleet, prints its addresses, keys and model, and runs until the process is interrupted. */
    fun run(policy: RoutingPolicyName, admission: Boolean) {
        val routing = RoutingSettings(policy = policy, admission = admission)
        Fleet.start(binaries, PLAN, routing).use { fleet ->
            Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
            val operators = OperatorsCli(binaries, fleet.entries.first().operatorsUrl)
            Readiness.await("${fleet.entries.first().operatorsUrl}/healthz")
            operators.applyConfig(configuration.resolve("base.json"), overlays())
            val keys = WORKSPACES.map { "key $it ${operators.grantKey(it).key}" }
            fleet.upstreams.forEach { it.awaitReady() }
            fleet.entries.forEach { it.awaitReady() }
            fleet.entries.forEach { println("entry ${it.url}") }
            keys.forEach { println(it) }
            println("model $MODEL")
            Thread.currentThread().join()
        }
    }

    private fun overlays(): List<Path> = configuration.resolve("sites").listDirectoryEntries("*.json").sorted()

    private companion object {
        const val MODEL = "verdict-lm"
        const val ENGINES_PER_REGION = 2
        val WORKSPACES =
            listOf(
                "stable-du-nord",
                "stable-des-plaines",
                "stable-du-sud",
                "stable-mare",
                "stable-piton",
                "stable-riviere",
                "stewards",
                "spectators",
            )
        val PLAN: FleetPlan =
            fleetPlan {
                listOf("nord", "plaines", "sud").forEach { region ->
                    dataCentre("$region-1", region) {
                        engines(MODEL, ENGINES_PER_REGION)
                        entries(1)
                    }
                }
            }
    }
}
