package org.medlarhook.cli.command

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.cli.BuildVersion
import org.medlarhook.core.directory.Workspace

/** Prints the state dump of a process. */
@OptIn(ExperimentalCli::class)
internal class StateCommand : OperatorsCommand("state", "Prints the state of an entry or a sidecar") {
    override fun execute() {
        val state = client.state().orExit()
        print(state) { state }
    }
}

/** Lists the upstreams as an entry sees them. */
@OptIn(ExperimentalCli::class)
internal class UpstreamsCommand : OperatorsCommand("upstreams", "Lists the upstreams as an entry sees them") {
    override fun execute() {
        val answer = client.raw("/operators/upstreams").orExit()
        print(answer) { answer }
    }
}

/** Shows the usage reports that were frozen. */
@OptIn(ExperimentalCli::class)
internal class ReportCommand : OperatorsCommand("report", "Shows the frozen usage windows") {
    override fun execute() {
        val answer = client.raw("/operators/usage-windows").orExit()
        print(answer) { answer }
    }
}

/** Lists the workspaces. */
@OptIn(ExperimentalCli::class)
internal class WorkspaceCommand : OperatorsCommand("workspace", "Lists the workspaces") {
    override fun execute() {
        val workspaces = client.config().orExit().entities.filterIsInstance<Workspace>()
        print(Json.encodeToString(ListSerializer(Workspace.serializer()), workspaces)) {
            workspaces.sortedBy { it.name }.joinToString("\n") { "${it.name} weight ${it.weight}" }
        }
    }
}

/** Prints the version of the program. */
@OptIn(ExperimentalCli::class)
internal class VersionCommand : Subcommand("version", "Prints the version") {
    override fun execute() {
        println("medlarhook ${BuildVersion.TEXT}")
    }
}
