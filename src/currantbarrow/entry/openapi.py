"""Build the OpenAPI description of the callers' API from the types that it uses."""

from __future__ import annotations

from typing import Any

import msgspec
import yaml

from currantbarrow import __version__
from currantbarrow.entry.api import AnswerBody, OpenBody
from currantbarrow.entry.problems import PROBLEM_CONTENT_TYPE, ProblemBody
from currantbarrow.entry.submission import NAME_PATTERN, SubmissionBody

__all__ = ["build_openapi", "render_openapi"]

JSON = "application/json"
HEALTH_SCHEMA = {
    "type": "object",
    "required": ["status"],
    "properties": {"status": {"type": "string"}},
}
READY_SCHEMA = {
    "type": "object",
    "required": ["ready"],
    "properties": {"ready": {"type": "boolean"}},
}
NAME_SCHEMA = {"type": "string", "pattern": NAME_PATTERN}
RETRY_AFTER_HEADER = {
    "Retry-After": {
        "description": "The seconds after which to submit the same key again.",
        "schema": {"type": "integer"},
    }
}
PROBLEM_DESCRIPTIONS = {
    400: "The body is not JSON, or the request is malformed.",
    404: "No job is known for the key, or the path is unknown.",
    405: "The path does not take this method.",
    409: "The key was used with another body, or the job was cancelled before it came.",
    413: "The body is larger than the settings allow.",
    415: "The body is not declared as JSON.",
    422: "A field is wrong, and named; or the job could never run.",
    429: "The job is refused for overload, and was not run.",
    500: "A fault of the server; submit the same key again to learn the outcome.",
    503: "No owner can be reached, or the job is refused; not_run tells whether it surely "
    "did not run.",
}


class _NoAliasDumper(yaml.SafeDumper):
    """Write equal parts of a YAML document in full instead of as aliases."""

    def ignore_aliases(self, data: Any) -> bool:
        """Return True for every value, so that no alias is written."""
        return True


def build_openapi() -> dict[str, Any]:
    """Return the OpenAPI description."""
    _, components = msgspec.json.schema_components(
        [SubmissionBody, AnswerBody, OpenBody, ProblemBody],
        ref_template="#/components/schemas/{name}",
    )
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "currantbarrow callers' API",
            "version": __version__,
            "license": {"name": "Apache-2.0", "identifier": "Apache-2.0"},
        },
        "paths": {
            "/v1/jobs": {"post": _submit_operation()},
            "/v1/jobs/{key}": {
                "parameters": _job_parameters(),
                "get": _show_operation(),
                "delete": _cancel_operation(),
            },
            "/healthz": {"get": _health_operation()},
            "/readyz": {"get": _readiness_operation()},
        },
        "components": {"schemas": components},
    }


def render_openapi() -> str:
    """Return the OpenAPI description as YAML."""
    return yaml.dump(build_openapi(), Dumper=_NoAliasDumper, sort_keys=False, width=100)


def _submit_operation() -> dict[str, Any]:
    return {
        "operationId": "submitJob",
        "summary": "Submit a job and get its whole answer, or join an earlier submission.",
        "requestBody": {
            "required": True,
            "content": {JSON: {"schema": _reference("SubmissionBody")}},
        },
        "responses": {
            "200": _success("The whole answer: complete or failed.", "AnswerBody"),
            "202": {
                **_success("The job is let in; asked for with wait: false.", "OpenBody"),
                "headers": {"Location": {"description": "The job.", "schema": {"type": "string"}}},
            },
            **_problems(400, 405, 409, 413, 415, 422, 429, 500, 503),
        },
    }


def _show_operation() -> dict[str, Any]:
    return {
        "operationId": "showJob",
        "summary": "Get the answer of a job.",
        "responses": {
            "200": _success("The whole answer.", "AnswerBody"),
            "202": _success("The job has no answer yet.", "OpenBody"),
            **_problems(404, 405, 422, 500, 503),
        },
    }


def _cancel_operation() -> dict[str, Any]:
    return {
        "operationId": "cancelJob",
        "summary": "Cancel a job; waiting tasks never start, running ones are stopped.",
        "responses": {
            "200": _success("The job's answer, which may have come before.", "AnswerBody"),
            "202": _success("The job has not come yet, and will be refused.", "OpenBody"),
            **_problems(404, 405, 422, 500, 503),
        },
    }


def _health_operation() -> dict[str, Any]:
    return {
        "operationId": "isAlive",
        "summary": "Tell that the process lives.",
        "responses": {"200": _content("It lives.", JSON, HEALTH_SCHEMA), **_problems(405)},
    }


def _readiness_operation() -> dict[str, Any]:
    return {
        "operationId": "isReady",
        "summary": "Tell whether callers should be sent here.",
        "responses": {
            "200": _content("They should.", JSON, READY_SCHEMA),
            "503": _content("They should not.", JSON, READY_SCHEMA),
            **_problems(405),
        },
    }


def _job_parameters() -> list[dict[str, Any]]:
    return [
        {"name": "key", "in": "path", "required": True, "schema": NAME_SCHEMA},
        {"name": "customer", "in": "query", "required": True, "schema": NAME_SCHEMA},
        {
            "name": "created_at_ms",
            "in": "query",
            "description": "The key's creation time, unless the key is a UUIDv7.",
            "schema": {"type": "integer"},
        },
    ]


def _problems(*statuses: int) -> dict[str, Any]:
    responses = {}
    for status in statuses:
        response = _content(
            PROBLEM_DESCRIPTIONS[status], PROBLEM_CONTENT_TYPE, _reference("ProblemBody")
        )
        if status in (429, 503):
            response["headers"] = RETRY_AFTER_HEADER
        responses[str(status)] = response
    return responses


def _success(description: str, name: str) -> dict[str, Any]:
    return _content(description, JSON, _reference(name))


def _content(description: str, content_type: str, schema: dict[str, Any]) -> dict[str, Any]:
    return {"description": description, "content": {content_type: {"schema": schema}}}


def _reference(name: str) -> dict[str, Any]:
    return {"$ref": f"#/components/schemas/{name}"}
