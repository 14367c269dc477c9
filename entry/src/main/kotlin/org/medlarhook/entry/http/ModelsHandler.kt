package org.medlarhook.entry.http

import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.medlarhook.core.directory.Workspace
import org.medlarhook.entry.directory.DirectoryView

/** Handles `GET /v1/models`, which lists the models that the caller's workspace may use. */
internal class ModelsHandler(
    private val directory: DirectoryView,
    private val authorizer: CallerAuthorizer,
) {
    /** Answers with the list, or refuses a caller whose key is missing or not accepted. */
    fun handle(caller: CallerRequest) {
        authorizer.workspace(caller.presentedKey, caller.receivedAtMs).fold(
            ifLeft = { caller.exchange.problem(it) },
            ifRight = { workspace ->
                val body = list(workspace).encodeToByteArray()
                caller.exchange.respond(HTTP_OK, "application/json", emptyList(), body)
            },
        )
    }

    private fun list(workspace: Workspace): String {
        val models = directory.models().filter { authorizer.mayUseModel(workspace, it.name) }.sortedBy { it.name }
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
