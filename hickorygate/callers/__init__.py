"""Communication with callers, for two protocols.

MySQL: `server` accepts connections, `session_handler` and `executor` run their
statements, `session` holds the state, `environment` the dependencies.

Line protocol: `platform.line_server` accepts connections, `caller_session`,
`single_statements` and `transaction_statements` run the statements,
`statement_target` finds their databases, `transaction_opening` begins
transactions, `caller_session_state` holds the state, `session_context` the
dependencies.
"""
