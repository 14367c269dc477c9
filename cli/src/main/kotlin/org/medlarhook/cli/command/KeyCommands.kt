package org.medlarhook.cli.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import org.medlarhook.cli.ExitCode
import org.medlarhook.runtime.operators.api.InForceAnswer
import org.medlarhook.runtime.operators.api.KeyAnswer
import org.medlarhook.runtime.operators.api.KeyRequest
import org.medlarhook.runtime.operators.api.KeysAnswer
import kotlin.system.exitProcess

/** Returns the `key` group of commands. */
internal fun keyCommand(): CommandGroup =
    CommandGroup("key", "Grants, withdraws and lists keys", KeyGrantCommand(), KeyWithdrawCommand(), KeyListCommand())

@OptIn(ExperimentalCli::class)
private class KeyGrantCommand : OperatorsCommand("grant", "Grants a new key and prints it; it is not stored") {
    private val workspace by option(ArgType.String, "workspace", description = "Workspace of the key").required()
    private val author by option(ArgType.String, "author", description = "Author of the change").required()

    override fun execute() {
        val answer = client.grantKey(KeyRequest(workspace, author)).orExit()
        print(Json.encodeToString(KeyAnswer.serializer(), answer)) {
            "id ${answer.keyId}\nkey ${answer.key}\nversion ${answer.version}"
        }
    }
}

@OptIn(ExperimentalCli::class)
private class KeyWithdrawCommand : OperatorsCommand("withdraw", "Withdraws a key and waits until no entry accepts it") {
    private val id by option(ArgType.String, "id", description = "Id of the key").required()
    private val author by option(ArgType.String, "author", description = "Author of the change").required()
    private val timeoutMs by option(
        ArgType.Int,
        "timeout-ms",
        description = "Longest wait for the withdrawal, in ms",
    ).default(DEFAULT_TIMEOUT_MS)

    override fun execute() {
        val version = client.withdrawKey(id, author).orExit().version
        val answer = awaitInForce(version)
        print(Json.encodeToString(InForceAnswer.serializer(), answer)) {
            val waiting = answer.waitingFor.joinToString()
            if (answer.inForce) "version $version in force" else "version $version waits for $waiting"
        }
        if (!answer.inForce) exitProcess(ExitCode.FAILED.status)
    }

    private fun awaitInForce(version: Long): InForceAnswer {
        val deadlineNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (true) {
            val answer = client.inForce(version).orExit()
            if (answer.inForce || System.nanoTime() > deadlineNanos) return answer
            Thread.sleep(POLL_MS)
        }
    }

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 15_000
        const val POLL_MS = 200L
        const val NANOS_PER_MS = 1_000_000L
    }
}

@OptIn(ExperimentalCli::class)
private class KeyListCommand : OperatorsCommand("list", "Lists keys by id; the secrets are not stored") {
    private val workspace by option(ArgType.String, "workspace", description = "Only keys of this workspace")

    override fun execute() {
        val answer = client.keys(workspace).orExit()
        print(Json.encodeToString(KeysAnswer.serializer(), answer)) {
            answer.keys.joinToString("\n") {
                "${it.keyId} ${it.workspace} ${if (it.withdrawn) "withdrawn" else "granted"}"
            }
        }
    }
}
