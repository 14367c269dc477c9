package org.medlarhook.harness

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.medlarhook.core.result.ResultCode
import java.nio.file.Path

/** Runs the operators' client against the entry whose operators' listener is [operatorsUrl]. */
public class OperatorsCli(
    private val binaries: Binaries,
    private val operatorsUrl: String,
) {
    /** Runs one command, such as `config`, `history`, and returns its outcome. */
    public fun run(vararg arguments: String): CommandOutcome {
        val command = listOf(binaries.medlarhook.toString()) + arguments + "--entry=$operatorsUrl"
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        return CommandOutcome(process.waitFor(), output.trim())
    }

    /** Applies a configuration; waits for an entry that has just started and may not write yet. */
    public fun applyConfig(base: Path, overlays: List<Path>) {
        Readiness.until("the configuration was not applied") { isApplied(base, overlays.joinToString(",")) }
    }

    private fun isApplied(base: Path, overlayList: String): Boolean {
        val outcome = run("config", "apply", "--base=$base", "--overlays=$overlayList", "--author=$AUTHOR")
        val mayRepeat = outcome.output.startsWith(NOTHING_CHANGED.number.toString())
        check(outcome.status == 0 || mayRepeat) { "the configuration was not applied: ${outcome.output}" }
        return outcome.status == 0
    }

    /** Grants a key. */
    public fun grantKey(workspace: String): GrantedKey {
        val outcome = run("key", "grant", "--workspace=$workspace", "--author=$AUTHOR", "--output=json")
        check(outcome.status == 0) { "no key was granted: ${outcome.output}" }
        val answer = Json.parseToJsonElement(outcome.output.lines().last()).jsonObject
        return GrantedKey(answer.getValue("keyId").jsonPrimitive.content, answer.getValue("key").jsonPrimitive.content)
    }

    /** Withdraws a key and waits until that is in force. */
    public fun withdrawKey(keyId: String): CommandOutcome =
        run("key", "withdraw", "--id=$keyId", "--author=$AUTHOR")

    private companion object {
        const val AUTHOR = "harness"
        val NOTHING_CHANGED = ResultCode.PLATFORM_UNAVAILABLE
    }
}
