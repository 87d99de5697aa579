"""Check the responses of the callers' API to valid and invalid requests."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uuid6
import yaml

from currantbarrow.entry.api import AnswerBody, OpenBody
from currantbarrow.entry.openapi import build_openapi
from currantbarrow.entry.problems import ProblemBody
from loopback import HttpReply, LoopbackThread, make_body

OPENAPI = Path(__file__).parent.parent / "docs" / "openapi.yaml"
BODY_TYPES: dict[str, Any] = {
    "AnswerBody": AnswerBody,
    "OpenBody": OpenBody,
    "ProblemBody": ProblemBody,
}
UNCLOSED_BRACKETS = b"[" * 100_000
DEEP_ARRAY = b"[" * 70 + b"]" * 70
HUGE_INTEGER = 10**40


def encode_submission(tasks: bytes) -> bytes:
    """Return an encoded submission with the given bytes as its `tasks`."""
    head = msgspec.json.encode({**make_body(), "tasks": None})
    return head.replace(b'"tasks":null', b'"tasks":' + tasks)


def check_against_openapi(path: str, method: str, reply: HttpReply) -> None:
    """Fail unless status, content type and body match docs/openapi.yaml."""
    described = yaml.safe_load(OPENAPI.read_text())["paths"][path][method]["responses"]
    content = described[str(reply.status)]["content"]
    (content_type,) = content
    assert reply.headers["content-type"] == content_type
    name = content[content_type]["schema"]["$ref"].rpartition("/")[2]
    msgspec.json.decode(reply.content, type=BODY_TYPES[name])


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("body", "status", "code", "field"),
        [
            (b"", 400, "json_invalid", ""),
            (b"{", 400, "json_invalid", ""),
            (b"\xff\xfe", 400, "json_invalid", ""),
            (UNCLOSED_BRACKETS, 422, "job_invalid", ""),
            (b"[]", 422, "job_invalid", ""),
            (encode_submission(b"[" + b"[" * 100_000), 422, "job_invalid", "tasks[0]"),
            (encode_submission(b'[{"payload":' + UNCLOSED_BRACKETS), 400, "json_invalid", ""),
            (encode_submission(b'[{"payload":NaN}]'), 400, "json_invalid", ""),
            (encode_submission(b'[{"payload":1e999}]'), 422, "job_invalid", "tasks[0].payload"),
            (encode_submission(b'[{"payload":{1:2}}]'), 400, "json_invalid", ""),
            (encode_submission(b'[{"payload":"\\ud800"}]'), 400, "json_invalid", ""),
            (
                encode_submission(b'[{"declared_ms":1e999}]'),
                422,
                "job_invalid",
                "tasks[0].declared_ms",
            ),
            (
                encode_submission(b'[{"payload":{"n":[%d]}}]' % HUGE_INTEGER),
                422,
                "value_too_complex",
                "tasks[0].payload.n[0]",
            ),
            (encode_submission(b'[{"payload":%b}]' % DEEP_ARRAY), 422, "value_too_complex", None),
            ({"key": 7}, 422, "job_invalid", "key"),
            ({"key": ""}, 422, "job_invalid", "key"),
            ({"key": "k" * 201}, 422, "job_invalid", "key"),
            ({"key": "no-uuid"}, 422, "key_without_time", "created_at_ms"),
            (
                encode_submission(b'[],"created_at_ms":%d' % HUGE_INTEGER),
                422,
                "job_invalid",
                "created_at_ms",
            ),
            ({"created_at_ms": -1}, 422, "job_invalid", "created_at_ms"),
            ({"created_at_ms": 2**52}, 422, "job_invalid", "created_at_ms"),
            ({"customer": "a\u0000b"}, 422, "job_invalid", "customer"),
            ({"customer": "a\n"}, 422, "job_invalid", "customer"),
            ({"class": "nope"}, 422, "class_unknown", "class"),
            ({"tasks": []}, 422, "task_count", "tasks"),
            ({"tasks": [{}] * 221}, 422, "task_count", "tasks"),
            ({"tasks": "x"}, 422, "job_invalid", "tasks"),
            ({"tasks": [{"size_slots": 0}]}, 422, "job_invalid", "tasks[0].size_slots"),
            ({"tasks": [{"declared_ms": "1"}]}, 422, "job_invalid", "tasks[0].declared_ms"),
            ({"tasks": [{}, {"speed": 1}]}, 422, "job_invalid", "tasks[1].speed"),
            ({"wait": 1}, 422, "job_invalid", "wait"),
            ({"colour": "red"}, 422, "job_invalid", "colour"),
        ],
    )
    def test_invalid_submission_names_the_field_and_starts_no_task(
        self,
        small_fleet: LoopbackThread,
        body: bytes | dict[str, Any],
        status: int,
        code: str | None,
        field: str | None,
    ) -> None:
        before = small_fleet.start_count()
        content = body if isinstance(body, bytes) else make_body(**body)
        reply = small_fleet.send("POST", "/v1/jobs", content)
        check_against_openapi("/v1/jobs", "post", reply)
        assert (reply.status, reply.body["not_run"]) == (status, True)
        assert code is None or reply.body["code"] == code
        assert field is None or reply.body.get("field", "") == field
        assert small_fleet.start_count() == before

    def test_missing_field_is_named(self, small_fleet: LoopbackThread) -> None:
        body = make_body()
        del body["customer"]
        reply = small_fleet.send("POST", "/v1/jobs", body)
        assert (reply.status, reply.body["field"]) == (422, "customer")

    def test_body_of_another_type_is_refused(self, small_fleet: LoopbackThread) -> None:
        headers = {"Content-Type": "application/x-www-form-urlencoded"}
        reply = small_fleet.send("POST", "/v1/jobs", make_body(), headers=headers)
        check_against_openapi("/v1/jobs", "post", reply)
        assert (reply.status, reply.body["code"]) == (415, "content_type_unsupported")

    def test_oversized_body_is_refused(self, small_fleet: LoopbackThread) -> None:
        reply = small_fleet.send("POST", "/v1/jobs", b"x" * 4_100_000)
        check_against_openapi("/v1/jobs", "post", reply)
        assert (reply.status, reply.body["code"]) == (413, "body_too_large")

    def test_wrong_method_lists_the_allowed_ones(self, small_fleet: LoopbackThread) -> None:
        reply = small_fleet.send("PUT", "/v1/jobs")
        assert (reply.status, reply.body["code"]) == (405, "method_not_allowed")
        assert reply.headers["allow"] == "POST"

    def test_unknown_path_returns_problem_details(self, small_fleet: LoopbackThread) -> None:
        reply = small_fleet.send("GET", "/v2/nothing")
        assert (reply.status, reply.body["code"]) == (404, "path_unknown")
        assert reply.headers["content-type"] == "application/problem+json"

    @pytest.mark.parametrize(
        ("query", "field"),
        [
            ("", "customer"),
            ("?customer=", "customer"),
            ("?customer=a%00b", "customer"),
            ("?customer=a&created_at_ms=x", "created_at_ms"),
            ("?customer=a&created_at_ms=" + "9" * 5000, "created_at_ms"),
            ("?customer=a", "created_at_ms"),
        ],
    )
    def test_invalid_query_names_the_field(
        self, small_fleet: LoopbackThread, query: str, field: str
    ) -> None:
        for method in ("GET", "DELETE"):
            reply = small_fleet.send(method, f"/v1/jobs/k{query}")
            check_against_openapi("/v1/jobs/{key}", method.lower(), reply)
            assert (reply.status, reply.body["field"]) == (422, field)


class TestJobs:
    def test_answer_is_complete_and_resubmissions_join_the_job(
        self, small_fleet: LoopbackThread
    ) -> None:
        body = make_body(20)
        first = small_fleet.send("POST", "/v1/jobs", body)
        check_against_openapi("/v1/jobs", "post", first)
        assert [task["value"]["echo"] for task in first.body["tasks"]] == list(range(20))
        before = small_fleet.start_count()
        for entry in small_fleet.fleet.entries:
            again = small_fleet.send("POST", "/v1/jobs", body, address=entry.callers_address)
            assert again.body == first.body
        assert small_fleet.start_count() == before

    def test_key_with_another_body_is_a_conflict(self, small_fleet: LoopbackThread) -> None:
        body = make_body()
        small_fleet.send("POST", "/v1/jobs", body)
        reply = small_fleet.send("POST", "/v1/jobs", {**body, "tasks": [{}, {}]})
        check_against_openapi("/v1/jobs", "post", reply)
        assert (reply.status, reply.body["code"]) == (409, "key_reused")

    def test_caller_that_does_not_wait_can_fetch_the_answer_later(
        self, small_fleet: LoopbackThread
    ) -> None:
        body = make_body(run_ms=200.0, key="a/b c?d", created_at_ms=time.time_ns() // 1_000_000)
        reply = small_fleet.send("POST", "/v1/jobs", {**body, "wait": False})
        check_against_openapi("/v1/jobs", "post", reply)
        assert (reply.status, reply.body["status"]) == (202, "open")
        # A resubmission of the same body joins the job and waits for its end.
        assert small_fleet.send("POST", "/v1/jobs", body).body["status"] == "complete"
        shown = small_fleet.send("GET", reply.headers["location"])
        check_against_openapi("/v1/jobs/{key}", "get", shown)
        assert (shown.status, shown.body["status"]) == (200, "complete")

    def test_caller_that_does_not_wait_receives_an_early_refusal(
        self, small_fleet: LoopbackThread
    ) -> None:
        reply = small_fleet.send(
            "POST", "/v1/jobs", {**make_body(), "class": "nope", "wait": False}
        )
        assert (reply.status, reply.body["code"]) == (422, "class_unknown")

    def test_job_that_can_never_run_is_refused_as_not_run(
        self, small_fleet: LoopbackThread
    ) -> None:
        before = small_fleet.start_count()
        reply = small_fleet.send("POST", "/v1/jobs", make_body(tasks=[{"size_slots": 99}]))
        check_against_openapi("/v1/jobs", "post", reply)
        assert (reply.status, reply.body["code"]) == (422, "never_runs")
        assert reply.body["not_run"] is True
        assert small_fleet.start_count() == before

    def test_cancel_before_the_submission_refuses_the_job(
        self, small_fleet: LoopbackThread
    ) -> None:
        body = make_body()
        path = f"/v1/jobs/{body['key']}?customer=band"
        cancelled = small_fleet.send("DELETE", path)
        check_against_openapi("/v1/jobs/{key}", "delete", cancelled)
        assert cancelled.status == 202
        reply = small_fleet.send("POST", "/v1/jobs", body)
        assert (reply.status, reply.body["code"], reply.body["not_run"]) == (409, "cancelled", True)

    def test_unknown_job_is_not_found(self, small_fleet: LoopbackThread) -> None:
        reply = small_fleet.send("GET", f"/v1/jobs/{uuid6.uuid7()}?customer=band")
        check_against_openapi("/v1/jobs/{key}", "get", reply)
        assert (reply.status, reply.body["code"]) == (404, "job_unknown")

    def test_draining_entry_answers_and_closes_the_connection(
        self, small_fleet: LoopbackThread
    ) -> None:
        node = small_fleet.fleet.entries[0].node
        node.draining = True
        try:
            reply = small_fleet.send("POST", "/v1/jobs", make_body())
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert small_fleet.send("GET", "/readyz").status == 503
        finally:
            node.draining = False
        reply = small_fleet.send("POST", "/v1/jobs", make_body())
        assert reply.headers["connection"] == "keep-alive"

    def test_health_and_readiness(self, small_fleet: LoopbackThread) -> None:
        assert small_fleet.send("GET", "/healthz").body == {"status": "ok"}
        assert small_fleet.send("GET", "/readyz").body == {"ready": True}


def test_committed_openapi_file_matches_the_code() -> None:
    assert yaml.safe_load(OPENAPI.read_text()) == build_openapi()
