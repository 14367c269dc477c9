package org.medlarhook.harness

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.ports.ListedVm
import org.medlarhook.runtime.settings.EngineSettings
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.settings.ListenAddress
import org.medlarhook.runtime.settings.PlatformSettings
import org.medlarhook.runtime.settings.RoutingSettings
import org.medlarhook.runtime.settings.ServiceSettings
import org.medlarhook.runtime.settings.SidecarSettings
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.writeText

/** A test fleet on this host: processes of the platform stand-in, of upstreams with their sidecars, and of entries. */
public class Fleet private constructor(
    private val binaries: Binaries,
    private val directory: Path,
    private val routing: RoutingSettings,
) : AutoCloseable {
    private val platformPort = FreePorts.next()
    private val processes = CopyOnWriteArrayList<ManagedProcess>()

    /** Base URL of the platform stand-in. */
    public val platformUrl: String = url(platformPort)

    /** Client for the VM list of the platform stand-in. */
    public val vms: VmListClient = VmListClient(platformUrl)

    /** The process of the platform stand-in. */
    public lateinit var platform: ManagedProcess
        private set

    /** The entries in the order of the plan, then those started later. */
    public val entries: MutableList<EntryNode> = mutableListOf()

    /** The upstreams in the order of the plan, then those started later. */
    public val upstreams: MutableList<UpstreamNode> = mutableListOf()

    /** Starts another entry in a data centre and returns it without waiting for its readiness. */
    public fun startEntry(dataCentre: String, region: String): EntryNode {
        val id = "entry-${entries.size + 1}"
        val settings =
            EntrySettings(
                entryId = id,
                vmId = "vm-$id",
                dataCentre = dataCentre,
                region = region,
                callers = listen(),
                operators = listen(),
                peers = listen(),
                platform = PlatformSettings(platformUrl),
                routing = routing,
            )
        vms.put(ListedVm(settings.vmId, dataCentre, leaving = false))
        val node = EntryNode(settings, launchRole("entry", id, settings, EntrySettings.serializer()))
        entries += node
        return node
    }

    /** Starts an engine with its sidecar; [configure] can change the sidecar's settings. */
    public fun startEngine(
        dataCentre: String,
        region: String,
        plan: EnginePlan,
        configure: (SidecarSettings) -> SidecarSettings = { it },
    ): UpstreamNode {
        val id = "upstream-${upstreams.size + 1}"
        val port = FreePorts.next()
        val engine =
            launch(
                "$id-engine",
                listOf(
                    binaries.standIns.toString(),
                    "engine",
                    "--port=$port",
                    "--model=${plan.model}",
                    "--slots=${plan.slots}",
                    "--prefill-tokens-per-s=${plan.prefillTokensPerS}",
                    "--decode-tokens-per-s=${plan.decodeTokensPerS}",
                ),
            )
        val settings =
            EngineSettings(
                url = url(port),
                models = listOf(plan.model),
                slots = plan.slots,
                prefillTokensPerS = plan.prefillTokensPerS,
                decodeTokensPerS = plan.decodeTokensPerS,
            )
        return startSidecar(id, dataCentre, region, engine, url(port)) {
            configure(it.copy(engine = settings))
        }
    }

    /** Starts a booking service with its sidecar; [configure] can change the sidecar's settings. */
    public fun startService(
        dataCentre: String,
        region: String,
        service: String,
        configure: (SidecarSettings) -> SidecarSettings = { it },
    ): UpstreamNode {
        val id = "upstream-${upstreams.size + 1}"
        val port = FreePorts.next()
        val command = listOf(binaries.standIns.toString(), "service", "--port=$port")
        val process = launch("$id-service", command)
        val settings = ServiceSettings(url(port), listOf(service))
        return startSidecar(id, dataCentre, region, process, url(port)) {
            configure(it.copy(service = settings))
        }
    }

    /** Starts another sidecar process with the settings of [node], as a restart does. */
    public fun startSidecarAgain(node: UpstreamNode): ManagedProcess =
        launchRole("sidecar", node.settings.upstreamId, node.settings, SidecarSettings.serializer())

    /** Kills all processes, the last started first; paused ones are resumed before. */
    override fun close() {
        processes.reversed().forEach { it.resume() }
        processes.reversed().forEach { it.kill() }
    }

    private fun startPlatform() {
        platform = launch("platform", listOf(binaries.standIns.toString(), "platform", "--port=$platformPort"))
        Readiness.await("$platformUrl/vms")
    }

    private fun startAll(plan: FleetPlan) {
        plan.dataCentres.forEach { dataCentre ->
            dataCentre.engines.forEach { startEngine(dataCentre.name, dataCentre.region, it) }
            dataCentre.services.forEach { startService(dataCentre.name, dataCentre.region, it) }
            repeat(dataCentre.entries) { startEntry(dataCentre.name, dataCentre.region) }
        }
    }

    private fun startSidecar(
        id: String,
        dataCentre: String,
        region: String,
        backend: ManagedProcess,
        backendUrl: String,
        configure: (SidecarSettings) -> SidecarSettings,
    ): UpstreamNode {
        val base =
            SidecarSettings(
                upstreamId = id,
                vmId = "vm-$id",
                dataCentre = dataCentre,
                region = region,
                entries = listen(),
                operators = listen(),
                platform = PlatformSettings(platformUrl),
            )
        val settings = configure(base)
        vms.put(ListedVm(settings.vmId, dataCentre, leaving = false))
        val sidecar = launchRole("sidecar", id, settings, SidecarSettings.serializer())
        return UpstreamNode(settings, sidecar, backend, backendUrl).also { upstreams += it }
    }

    private fun <T> launchRole(role: String, id: String, settings: T, serializer: KSerializer<T>): ManagedProcess {
        val file = directory.resolve("$id.json")
        file.writeText(JSON.encodeToString(serializer, settings))
        return launch(id, listOf(binaries.medlarhook.toString(), role, "--settings=$file"))
    }

    private fun launch(name: String, command: List<String>): ManagedProcess =
        ManagedProcess.start(name, command, directory).also { processes += it }

    private fun listen() = ListenAddress(port = FreePorts.next())

    private fun url(port: Int) = "http://127.0.0.1:$port"

    public companion object {
        private val JSON = Json { prettyPrint = true }

        /** Starts the processes of [plan], with logs and settings files in a new temporary directory. */
        public fun start(binaries: Binaries, plan: FleetPlan, routing: RoutingSettings = RoutingSettings()): Fleet {
            val fleet = Fleet(binaries, Files.createTempDirectory("medlarhook-fleet"), routing)
            fleet.startPlatform()
            fleet.startAll(plan)
            return fleet
        }
    }
}
