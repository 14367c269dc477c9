package org.medlarhook.entry.http

import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.medlarhook.core.directory.Workspace
import org.medlarhook.entry.directory.DirectoryView

/** Handles `GET /v1/models`: the models that the workspace may use. */
internal class ModelsHandler(
    private val directory: DirectoryView,
    private val callers: Callers,
) {
    /** Answers with the list. */
    fun handle(caller: CallerRequest) {
        callers.workspace(caller.presentedKey, caller.receivedAtMs).fold(
            ifLeft = { caller.exchange.problem(it) },
            ifRight = { workspace ->
                val body = list(workspace).encodeToByteArray()
                caller.exchange.respond(HTTP_OK, "application/json", emptyList(), body)
            },
        )
    }

    private fun list(workspace: Workspace): String {
        val models = directory.models().filter { callers.mayUseModel(workspace, it.name) }.sortedBy { it.name }
        val data =
            buildJsonArray {
                models.forEach { model ->
                    add(
                        buildJsonObject {
                            put("id", model.name)
                            put("object", "model")
                            put("owned_by", "medlarhook")
                        },
                    )
                }
            }
        return """{"object":"list","data":$data}"""
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
