package org.medlarhook.harness

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.medlarhook.core.result.ResultCode
import java.nio.file.Path

/** Runs operators' commands of the program against the entry whose HTTP server for operators is at [operatorsUrl]. */
public class OperatorsCli(
    private val binaries: Binaries,
    private val operatorsUrl: String,
) {
    /** Runs one command, such as `config history`, given by its words and options, and returns its outcome. */
    public fun run(vararg arguments: String): CommandOutcome {
        val command = listOf(binaries.medlarhook.toString()) + arguments + "--entry=$operatorsUrl"
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        return CommandOutcome(process.waitFor(), output.trim())
    }

    /** Applies a configuration. Retries while the entry may not write yet, as shortly after its start. */
    public fun applyConfig(base: Path, overlays: List<Path>) {
        Readiness.until("the configuration was not applied") { isApplied(base, overlays.joinToString(",")) }
    }

    private fun isApplied(base: Path, overlayList: String): Boolean {
        val outcome = run("config", "apply", "--base=$base", "--overlays=$overlayList", "--author=$AUTHOR")
        val isRetryable = outcome.output.startsWith(RETRYABLE.number.toString())
        check(outcome.status == 0 || isRetryable) { "config apply exited with ${outcome.status}: ${outcome.output}" }
        return outcome.status == 0
    }

    /** Grants a new key for [workspace]. */
    public fun grantKey(workspace: String): GrantedKey {
        val outcome = run("key", "grant", "--workspace=$workspace", "--author=$AUTHOR", "--output=json")
        check(outcome.status == 0) { "key grant exited with ${outcome.status}: ${outcome.output}" }
        val answer = Json.parseToJsonElement(outcome.output.lines().last()).jsonObject
        return GrantedKey(answer.getValue("keyId").jsonPrimitive.content, answer.getValue("key").jsonPrimitive.content)
    }

    /** Withdraws a key and waits until no entry accepts it. */
    public fun withdrawKey(keyId: String): CommandOutcome =
        run("key", "withdraw", "--id=$keyId", "--author=$AUTHOR")

    private companion object {
        const val AUTHOR = "harness"
        val RETRYABLE = ResultCode.PLATFORM_UNAVAILABLE
    }
}
